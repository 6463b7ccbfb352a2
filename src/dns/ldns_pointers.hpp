// Owning pointers for objects that ldns allocates. Used by encode.cpp and decode.cpp.
#pragma once

// Included before ldns.h, which otherwise defines `bool`, `true` and `false` as macros.
#include <cstdbool>

#include <ldns/ldns.h>

#include <memory>

namespace deckcart::dns {

struct PacketDeleter {
    void operator()(ldns_pkt *packet) const { ldns_pkt_free(packet); }
};
using PacketPointer = std::unique_ptr<ldns_pkt, PacketDeleter>;

struct RecordDeleter {
    void operator()(ldns_rr *record) const { ldns_rr_free(record); }
};
using RecordPointer = std::unique_ptr<ldns_rr, RecordDeleter>;

}  // namespace deckcart::dns
