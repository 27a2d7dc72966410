#include "leader/planner.hpp"

namespace coralhitch::leader {

ThreadPlanner::ThreadPlanner(event_loop::EventLoop& loop) : loop_(loop), thread_([this] { run(); }) {}
ThreadPlanner::~ThreadPlanner() {
    {
        std::lock_guard lock(mutex_);
        stop_ = true;
    }
    wake_.notify_all();
    thread_.join();
}
void ThreadPlanner::submit(Work work) {
    {
        std::lock_guard lock(mutex_);
        work_ = std::move(work);
    }
    wake_.notify_one();
}
void ThreadPlanner::run() {
    for (;;) {
        Work work;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return stop_ || work_; });
            if (stop_) return;
            work = std::move(*work_);
            work_.reset();
        }
        loop_.post(work());
    }
}

}  // namespace coralhitch::leader
