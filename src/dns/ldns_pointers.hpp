// Ownership of what ldns allocates, for the reader and the writer of messages.
#pragma once

// Before ldns.h, which otherwise makes macros of `bool`, `true` and `false` for all that follows.
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
