// Bytes that are appended at the end and consumed from the front, such as a connection's input that
// is not parsed yet, or its output that is not sent yet.
#pragma once

#include <string>
#include <string_view>

namespace deckcart {

/// Holds less than twice the bytes that were not consumed, besides a small buffer that is kept.
class ByteQueue {
  public:
    void append(std::string_view more) { bytes.append(more); }
    /// The bytes not consumed yet. Valid until the next call of another member function.
    [[nodiscard]] std::string_view view() const { return std::string_view(bytes).substr(consumed); }
    [[nodiscard]] std::size_t size() const { return bytes.size() - consumed; }
    [[nodiscard]] bool empty() const { return size() == 0; }

    /// Removes bytes at the front.
    void consume(std::size_t count) {
        consumed += count;
        if (empty())
            return clear();
        if (consumed <= bytes.size() / 2)
            return;
        bytes.erase(0, consumed);
        consumed = 0;
        releaseSpareCapacity();
    }
    void clear() {
        bytes.clear();
        consumed = 0;
        releaseSpareCapacity();
    }

  private:
    // So that an idle connection does not keep the memory of one long message.
    static constexpr std::size_t kKeptCapacityBytes = 4096;

    void releaseSpareCapacity() {
        if (bytes.capacity() > kKeptCapacityBytes && bytes.size() < bytes.capacity() / 2)
            bytes.shrink_to_fit();
    }

    std::string bytes;
    std::size_t consumed = 0;
};

}  // namespace deckcart
