// deckcart_wirehost: the adapter for the simulator. Reads batches from standard input and writes
// the replies to standard output.
#include <iostream>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return deckcart::simulator::serve(std::cin, std::cout, std::cerr);
}
