"""A pipeline of one-task jobs with one deadline, and users who ask about jobs."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import world as w  # noqa: E402

STAGES = 30
SILENT_S = 75.0  # "a job about which no question is answered for 75 s counts as forgotten"


async def case(trouble):
    world = w.World(HERE, machines=4)
    try:
        if not await world.start():
            return 2
        await world.submit(world.job(1, shape="service", rank="critical", vcpus=5.0, cards=1.0, ram_gb=19.0))
        if not await world.until(lambda: world.on.get("j-000001/0"), 15):
            return 2
        # Stage k is a main job and a side job. The main job awaits the main and the side job of the stage before, and
        # the side job awaits the main job of the stage before. The first stage runs for as long as the case does.
        number, mains, sides = 100, [], []
        batch = []
        for stage in range(STAGES):
            main = world.job(number + 100, 300.0 if stage == 0 else 1.0, reckon_s=1.0)
            side = world.job(number, 1.0, reckon_s=1e-5 * 2.0 ** stage)
            if stage:
                side["awaits"] = [mains[-1]]
                main["awaits"] = [mains[-1], side["id"]]
            else:
                side["reckon_s"], world.run_s[side["id"]] = 1.0, 300.0
            batch += [side, main]
            mains.append(main["id"])
            sides.append(side["id"])
            number += 1
        last = batch[-1]
        last["rank"] = "high"
        last["tide_s"] = 20000.0 if trouble else None
        for n, job in enumerate(batch):
            answer = await world.submit(job, node=world.controllers[n % 3])
            if not answer or answer[0] not in (200, 201):
                return 2
        accepted = world.record.now()
        answered = {}  # job -> time of the last answered question
        asked = ["j-000001", last["id"]]

        async def poll(id):
            while True:
                for node in world.controllers:
                    reply = await world.poll(id, node)
                    if reply and reply[0] == 200:
                        answered[id] = world.record.now()
                await asyncio.sleep(2.0)

        users = [asyncio.create_task(poll(id)) for id in asked]

        def silent():
            return {id: world.record.now() - answered.get(id, accepted) for id in asked}

        while world.record.now() < 112 and not any(seconds >= SILENT_S for seconds in silent().values()):
            if not trouble and world.record.now() > accepted + 40:
                break
            await asyncio.sleep(0.5)
        world.record("result", f"last job accepted at {accepted:.1f} s; seconds without an answer: {silent()}; replica "
                               f"of the service on a machine: {bool(world.on.get('j-000001/0'))}; leases of workers "
                               f"that expired: {len(world.expiries)}; controllers that run: "
                               f"{[c.running() for c in world.controllers]}")
        return 1 if any(seconds >= SILENT_S for seconds in silent().values()) else 0
    finally:
        world.stop()


w.main(case)
