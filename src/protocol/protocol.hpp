// Every message to and from the outside, by counterpart, and the records that are stored. Only this package
// knows the protocol's own names.
#pragma once
#include "protocol/agent_api.hpp"
#include "protocol/cloud_api.hpp"
#include "protocol/kv_api.hpp"
#include "protocol/malformed.hpp"
#include "protocol/model.hpp"
#include "protocol/records.hpp"
#include "protocol/user_api.hpp"
