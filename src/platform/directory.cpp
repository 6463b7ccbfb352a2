#include "directory.hpp"

namespace deckcart::platform {

void Directory::note(const Members &told) {
    if (told.complete)
        places.clear();
    for (const auto &m : told.members) {
        if (m.entry.state == EndpointState::removed)
            places.erase(m.entry.id);
        else if (m.address)
            places[m.entry.id] = {*m.address, m.entry.build, m.startedAtMs};
    }
}

const Directory::Place *Directory::find(const EndpointId &id) const {
    const auto it = places.find(id);
    return it == places.end() ? nullptr : &it->second;
}

}  // namespace deckcart::platform
