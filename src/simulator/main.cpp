// The host of the simulator's wire: batches on standard input, replies on standard output.
#include <iostream>

#include "../simulator/codec.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    return deckcart::simulator::serve(std::cin, std::cout, std::cerr);
}
