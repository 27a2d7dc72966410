// The exact bytes that this program writes and reads: stored records, and messages between controllers and to
// and from users, agents, the cloud and the key-value store. Older versions run beside newer ones, and
// records are kept indefinitely. Renaming things in the code must therefore not touch this file; a change
// here is a change of the protocol.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace coralhitch::golden {

// ---- Jobs

inline constexpr std::string_view submission =
    R"({"anchor_s":30.25,"awaits":["j-000411","j-1"],"cards":1.5,"cohort":"train","crew":"vision","driftwood":true,"hulls":["g8","g16"],"id":"j-000412","image_gb":6.2,"payload":"img-07","ram_gb":64.75,"rank":"high","reckon_s":240.125,"reef":"a","scatter":false,"shape":"gang","shards":16,"stow_s":4.0,"tide_s":900.0,"together":true,"vcpus":8.5})";
// Without any optional field.
inline constexpr std::string_view submission_least =
    R"({"anchor_s":0.0,"cards":0.0,"cohort":"c","crew":"t","driftwood":false,"id":"j-1","image_gb":0.0,"payload":"i","ram_gb":0.0,"rank":"normal","reckon_s":0.0,"scatter":false,"shape":"batch","shards":1,"stow_s":0.0,"together":false,"vcpus":0.0})";

// ---- Stored records

inline constexpr std::string_view job_record_least =
    R"({"cancelled":false,"job":{"anchor_s":0.0,"cards":0.0,"cohort":"c","crew":"t","driftwood":false,"id":"j-1","image_gb":0.0,"payload":"i","ram_gb":0.0,"rank":"normal","reckon_s":0.0,"scatter":false,"shape":"batch","shards":1,"stow_s":0.0,"together":false,"vcpus":0.0},"submitted":0.0})";
inline constexpr std::string_view job_record =
    R"({"cancelled":false,"job":{"anchor_s":30.25,"cards":1.5,"cohort":"train","crew":"vision","driftwood":true,"hulls":["g8","g16"],"id":"j-000412","image_gb":6.2,"payload":"img-07","ram_gb":64.75,"rank":"high","reckon_s":240.125,"reef":"a","scatter":false,"shape":"gang","shards":16,"stow_s":4.0,"tide_s":900.0,"together":true,"vcpus":8.5},"submitted":1733119009.25})";
inline constexpr std::string_view job_record_cancelled =
    R"({"cancelled":true,"job":{"anchor_s":30.25,"cards":1.5,"cohort":"train","crew":"vision","driftwood":true,"hulls":["g8","g16"],"id":"j-000412","image_gb":6.2,"payload":"img-07","ram_gb":64.75,"rank":"high","reckon_s":240.125,"reef":"a","scatter":false,"shape":"gang","shards":16,"stow_s":4.0,"tide_s":900.0,"together":true,"vcpus":8.5},"submitted":1733119009.25})";
// Versions without support for dependencies must not find a job with dependencies under `job`.
inline constexpr std::string_view job_record_awaits =
    R"({"awaiting_job":{"anchor_s":30.25,"awaits":["j-000411","j-1"],"cards":1.5,"cohort":"train","crew":"vision","driftwood":true,"hulls":["g8","g16"],"id":"j-000412","image_gb":6.2,"payload":"img-07","ram_gb":64.75,"rank":"high","reckon_s":240.125,"reef":"a","scatter":false,"shape":"gang","shards":16,"stow_s":4.0,"tide_s":900.0,"together":true,"vcpus":8.5},"cancelled":false,"submitted":1733119009.25})";
inline constexpr std::string_view job_record_awaits_cancelled =
    R"({"awaiting_job":{"anchor_s":30.25,"awaits":["j-000411","j-1"],"cards":1.5,"cohort":"train","crew":"vision","driftwood":true,"hulls":["g8","g16"],"id":"j-000412","image_gb":6.2,"payload":"img-07","ram_gb":64.75,"rank":"high","reckon_s":240.125,"reef":"a","scatter":false,"shape":"gang","shards":16,"stow_s":4.0,"tide_s":900.0,"together":true,"vcpus":8.5},"cancelled":true,"submitted":1733119009.25})";
inline constexpr std::string_view job_record_shortened =
    R"({"cancelled":true,"job":{"anchor_s":30.25,"cards":1.5,"cohort":"-","crew":"vision","driftwood":true,"id":"j-000412","image_gb":6.2,"payload":"-","ram_gb":64.75,"rank":"high","reckon_s":240.125,"reef":"a","scatter":false,"shape":"gang","shards":16,"stow_s":4.0,"tide_s":900.0,"together":true,"vcpus":8.5},"submitted":1733119009.25})";

inline constexpr std::string_view final_done = R"({"state":"done","tasks":100000})";
inline constexpr std::string_view final_cancelled = R"({"state":"withdrawn","tasks":16})";
inline constexpr std::string_view final_queued = R"({"state":"pending","tasks":1})";
inline constexpr std::string_view final_running = R"({"state":"running","tasks":2})";

inline constexpr std::string_view machine_page =
    R"({"machines":[["vm-1","10.1.0.1:9000","g8","a",true,false],["vm-2","10.1.0.2:9001","c4","b",false,true]]})";
inline constexpr std::string_view machine_page_empty = R"({"machines":[]})";
// Stored at mach/ID by versions without machine pages. Still read, but no longer written.
inline constexpr std::string_view machine_spot =
    R"({"addr":"10.1.0.1:9000","type":"g8","zone":"a","spot":true,"condemned":false})";
inline constexpr std::string_view machine_marked =
    R"({"addr":"10.1.0.2:9001","type":"c4","zone":"b","spot":false,"condemned":true})";

inline constexpr std::string_view leader_old = R"({"incarnation":18446744073709551615,"label":"berth-0"})";
inline constexpr std::string_view leader =
    R"({"incarnation":9007199254740993,"label":"berth-1","standby":true})";

inline constexpr std::string_view standby =
    R"({"members":[{"begun":11,"incarnation":18446744073709551615,"label":"berth-0"},{"begun":12,"incarnation":5,"label":"berth-2"}],"version":9007199254740993})";
inline constexpr std::string_view standby_nobody = R"({"members":[],"version":7})";
// As versions without replica handover write it.
inline constexpr std::string_view standby_old =
    R"({"members":[{"incarnation":5,"label":"berth-2"}],"version":7})";

inline constexpr std::string_view bits = R"({"bits":"0123456789abcdef"})";
inline constexpr std::string_view bits_five = R"({"bits":"31"})";
inline constexpr std::string_view bits_none = R"({"bits":""})";

inline constexpr std::string_view types =
    R"({"hulls":[{"cache_gb":200.5,"cards":8.0,"fetch_gb_per_s":1.25,"hourly":12.5,"name":"g8","ram_gb":768.0,"reefs":["a","b"],"spot_price":4.5,"startup_s":45.0,"vcpus":96.0},{"cache_gb":20.0,"cards":0.0,"fetch_gb_per_s":0.5,"hourly":1.5,"name":"c4","ram_gb":16.0,"reefs":[],"spot_price":0.25,"startup_s":30.0,"vcpus":4.0}]})";

// ---- Agents

inline constexpr std::string_view report =
    R"({"berth":"vm-1","addr":"10.1.0.1:9000","hull":"g8","reef":"a","driftwood":true,"watch":9007199254740993,"tally":18446744073709551615,"helm":9007199254740995,"warning_s":12.5,"shards":[{"shard":"j-7/3","launch":9007199254740997,"status":"exited","cause":"halted","saved":true},{"shard":"j-000412/15","launch":2,"status":"running","saved":false}]})";
inline constexpr std::string_view report_least =
    R"({"berth":"vm-2","addr":"10.1.0.2:9001","hull":"c4","reef":"b","driftwood":false,"watch":1,"tally":2,"helm":3,"shards":[]})";

inline constexpr std::string_view heartbeat_response =
    R"({"helm":18446744073709551615,"orders":[{"launch":3,"shard":"j-7/0","verb":"run"},{"launch":9007199254740993,"shard":"j-000412/15","slack_s":1.5,"verb":"kill"},{"launch":5,"shard":"j-9/99999","verb":"clear"}]})";
inline constexpr std::string_view report_answer_empty = R"({"helm":7,"orders":[]})";
inline constexpr std::string_view direct_commands =
    R"({"helm":9007199254740993,"watch":18446744073709551615,"orders":[{"launch":3,"shard":"j-7/0","verb":"run"},{"launch":9007199254740993,"shard":"j-000412/15","slack_s":1.5,"verb":"kill"},{"launch":5,"shard":"j-9/99999","verb":"clear"}]})";
inline constexpr std::string_view direct_commands_empty = R"({"helm":7,"watch":8,"orders":[]})";
inline constexpr std::string_view elsewhere = R"({"harbor":"berth-2"})";
inline constexpr std::string_view elsewhere_unknown = "{}";

// ---- Cloud

inline constexpr std::string_view rent =
    R"({"charter":"r-1","driftwood":true,"how_many":3,"hull":"g8","reef":"a"})";
inline constexpr std::string_view rent_dear =
    R"({"charter":"r-2","driftwood":false,"how_many":50,"hull":"c4","reef":"b"})";
inline constexpr std::string_view rented = R"({"berths":["vm-1","vm-2"]})";
inline constexpr std::string_view deletion = R"({"berths":["vm-1","vm-2"]})";
inline constexpr std::string_view deletion_empty = R"({"berths":[]})";
inline constexpr std::string_view hosts =
    R"({"berths":[{"id":"vm-1","addr":"10.1.0.1:9000","hull":"g8","reef":"a","driftwood":true,"status":"running","age_s":12.5},{"id":"vm-2","addr":null,"hull":"c4","reef":"b","driftwood":false,"status":"booting","age_s":0}],"more":true})";
inline constexpr std::string_view hosts_last =
    R"({"berths":[{"id":"vm-3","hull":"c4","reef":"a","driftwood":false,"status":"failed","age_s":7}],"more":false})";

// ---- Key-value store

inline constexpr std::string_view entry =
    R"({"path":"leader","value":{"label":"berth-0","n":18446744073709551615},"stamp":9007199254740993,"mooring":9007199254740995})";
inline constexpr std::string_view entries =
    R"({"entries":[{"path":"job/j-1","value":{"a":[1,2.5]},"stamp":9007199254740993},{"path":"job/j-2","value":"x","stamp":5}],"more":true,"epoch":18446744073709551615})";
inline constexpr std::string_view entries_last =
    R"({"entries":[{"path":"job/j-3","value":{},"stamp":6}],"more":false,"epoch":17})";
inline constexpr std::string_view events =
    R"({"epoch":18446744073709551615,"news":[{"put":"job/j-1","value":{"a":[1,2.5]},"stamp":9007199254740993},{"drop":"job/j-2","stamp":9}]})";
inline constexpr std::string_view conflict = R"({"failed":["leader","job/j-1"],"epoch":12})";
inline constexpr std::string_view revision = R"({"epoch":18446744073709551615})";
inline constexpr std::string_view lease = R"({"mooring":9007199254740993})";
inline constexpr std::string_view lease_request = R"({"ttl_ms":1500})";
inline constexpr std::string_view txn =
    R"({"if":[{"path":"leader","stamp":9007199254740993},{"path":"job/j-1","stamp":0}],"then":[{"put":"leader","value":{"label":"berth-0"},"mooring":18446744073709551615},{"put":"job/j-1","value":{}},{"drop":"final/j-2"}]})";
inline constexpr std::string_view txn_empty = R"({"if":[],"then":[]})";

// ---- Between controllers: msgpack in hexadecimal, one field per line. `unset` messages have all fields at
// their defaults.

inline constexpr std::string_view peer_ping =
    "9d"                                          // 13 fields
    "a762657274682d31"                            // "berth-1"
    "cfffffffffffffffff"                          // 18446744073709551615
    "cf1000000000000000"                          // 1152921504606846976
    "a762657274682d32"                            // "berth-2"
    "c3"                                          // true
    "92a4766d2d31a4766d2d32"                      // ["vm-1", "vm-2"]
    "9293a36a2d3103cd012c93a36a2d32ce0001117004"  // [["j-1", 3, 300], ["j-2", 70000, 4]]
    "05"                                          // 5
    "cc81"                                        // 129
    "9264ce00011170"                              // [100, 70000]
    "91a4766d2d33"                                // ["vm-3"]
    "91ceffffffff"                                // [4294967295]
    "c2";                                         // false
inline constexpr std::string_view peer_ping_brief =
    "9d"                // 13 fields
    "a762657274682d31"  // "berth-1"
    "07"                // 7
    "08"                // 8
    "a762657274682d32"  // "berth-2"
    "c2"                // false
    "90"                // []
    "90"                // []
    "05"                // 5
    "06"                // 6
    "90"                // []
    "90"                // []
    "90"                // []
    "c3";               // true
inline constexpr std::string_view peer_ping_unset =
    "9d"   // 13 fields
    "a0"   // ""
    "00"   // 0
    "00"   // 0
    "a0"   // ""
    "c2"   // false
    "90"   // []
    "90"   // []
    "00"   // 0
    "00"   // 0
    "90"   // []
    "90"   // []
    "90"   // []
    "c2";  // false
inline constexpr std::string_view peer_user_request =
    "93"                    // 3 fields
    "a4504f5354"            // "POST"
    "a92f6170692f6a6f6273"  // "/api/jobs"
    "d92d7b226964223a226a2d31222c22636f686f7274223a22747261696e222c2263726577223a22766973696f6e227d";  // "{\"id\":\"j-1\",\"cohort\":\"train\",\"crew\":\"vision\"}"
inline constexpr std::string_view peer_user_request_unset =
    "93"   // 3 fields
    "a0"   // ""
    "a0"   // ""
    "a0";  // ""
inline constexpr std::string_view peer_user_answer =
    "93"                   // 3 fields
    "ccca"                 // 202
    "a27b7d"               // "{}"
    "cb3ff8000000000000";  // 1.5
inline constexpr std::string_view peer_user_answer_unset =
    "93"      // 3 fields
    "cd01f7"  // 503
    "a0"      // ""
    "00";     // 0
inline constexpr std::string_view peer_job_query =
    "91"                   // 1 field
    "a86a2d303030343132";  // "j-000412"
inline constexpr std::string_view peer_job_query_unset =
    "91"   // 1 field
    "a0";  // ""
inline constexpr std::string_view peer_job_counts =
    "93"   // 3 fields
    "c3"   // true
    "03"   // 3
    "04";  // 4
inline constexpr std::string_view peer_job_counts_unset =
    "93"   // 3 fields
    "c2"   // false
    "00"   // 0
    "00";  // 0
inline constexpr std::string_view peer_cancelled =
    "92"                   // 2 fields
    "a36a2d31"             // "j-1"
    "cf0020000000000001";  // 9007199254740993
inline constexpr std::string_view peer_cancelled_unset =
    "92"   // 2 fields
    "a0"   // ""
    "00";  // 0
inline constexpr std::string_view peer_cancelled_again =
    "93"                           // 3 fields
    "a36a2d31"                     // "j-1"
    "07"                           // 7
    "9292a36a2d320892a36a2d3309";  // [["j-2", 8], ["j-3", 9]]
inline constexpr std::string_view peer_cancelled_again_unset =
    "93"   // 3 fields
    "a0"   // ""
    "00"   // 0
    "90";  // []
inline constexpr std::string_view peer_cancelled_answer =
    "91"   // 1 field
    "0c";  // 12
inline constexpr std::string_view peer_cancelled_answer_unset =
    "91"   // 1 field
    "00";  // 0
inline constexpr std::string_view peer_images =
    "93"                                      // 3 fields
    "92a5696d672d31a5696d672d32"              // ["img-1", "img-2"]
    "92cb4019000000000000cb3fe0000000000000"  // [6.25, 0.5]
    "9292a4766d2d3192010092a4766d2d3290";     // [["vm-1", [1, 0]], ["vm-2", []]]
inline constexpr std::string_view peer_images_unset =
    "93"   // 3 fields
    "90"   // []
    "90"   // []
    "90";  // []
inline constexpr std::string_view peer_relay =
    "97"                                                                      // 7 fields
    "a762657274682d31"                                                        // "berth-1"
    "07"                                                                      // 7
    "08"                                                                      // 8
    "09"                                                                      // 9
    "05"                                                                      // 5
    "92b07b226265727468223a22766d2d31227db07b226265727468223a22766d2d32227d"  // ["{\"berth\":\"vm-1\"}",
                                                                              // "{\"berth\":\"vm-2\"}"]
    "9292a4766d2d33ccfa92a4766d2d34ce00010000";  // [["vm-3", 250], ["vm-4", 65536]]
inline constexpr std::string_view peer_relay_unset =
    "97"   // 7 fields
    "a0"   // ""
    "00"   // 0
    "00"   // 0
    "00"   // 0
    "00"   // 0
    "90"   // []
    "90";  // []
inline constexpr std::string_view peer_relay_answer =
    "95"                                                                        // 5 fields
    "c3"                                                                        // true
    "c2"                                                                        // false
    "cd05dc"                                                                    // 1500
    "9293ccc8b67b2268656c6d223a382c226f7264657273223a5b5d7dc393cd0199a27b7dc2"  // [[200,
                                                                                // "{\"helm\":8,\"orders\":[]}",
                                                                                // true], [409, "{}", false]]
    "91a4766d2d39";  // ["vm-9"]
inline constexpr std::string_view peer_relay_answer_unset =
    "95"   // 5 fields
    "c2"   // false
    "c2"   // false
    "00"   // 0
    "90"   // []
    "90";  // []
inline constexpr std::string_view peer_fleet =
    "95"                                                                          // 5 fields
    "08"                                                                          // 8
    "03"                                                                          // 3
    "9296a4766d2d31c3c205069293a36a2d31020393a36a2d32000196a4766d2d32c2c30b0c90"  // [["vm-1", true, false, 5,
                                                                                  // 6, [["j-1", 2, 3],
                                                                                  // ["j-2", 0, 1]]], ["vm-2",
                                                                                  // false, true, 11, 12, []]]
    "07"                                                                          // 7
    "c3";                                                                         // true
inline constexpr std::string_view peer_fleet_unset =
    "95"   // 5 fields
    "00"   // 0
    "00"   // 0
    "90"   // []
    "00"   // 0
    "c2";  // false
inline constexpr std::string_view peer_fleet_answer =
    "93"   // 3 fields
    "c3"   // true
    "09"   // 9
    "08";  // 8
inline constexpr std::string_view peer_fleet_answer_unset =
    "93"   // 3 fields
    "c2"   // false
    "00"   // 0
    "00";  // 0

inline std::string unhex(std::string_view hex) {
    auto digit = [](char c) { return c >= 'a' ? c - 'a' + 10 : c - '0'; };
    std::string out;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
        out += static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1]));
    return out;
}
inline std::string hex(std::string_view bytes) {
    constexpr char digits[] = "0123456789abcdef";
    std::string out;
    for (unsigned char c : bytes) out.append({digits[c >> 4], digits[c & 15]});
    return out;
}

}  // namespace coralhitch::golden
