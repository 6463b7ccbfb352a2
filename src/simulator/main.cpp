// deckcart_wirehost: the simulator's adapter, batches on standard input, replies on standard
// output.
#include <iostream>

#include "host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return deckcart::simulator::serve(std::cin, std::cout, std::cerr);
}
