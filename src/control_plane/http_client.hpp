// The former name of two headers, for includes in other folders until they name the one they need.
#pragma once

#include "documents.hpp"
#include "http_control_plane_client.hpp"
