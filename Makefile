# The two things to do on a fresh machine. `make scenario` sets up and plays one fault scenario through real gateways
# (`make rehearse` is its former name); `make test` sets up and passes all tests.
BUILD ?= build-make
DAY ?= days/bad-build-and-crash.json

.PHONY: scenario rehearse test setup

setup:
	deploy/install-packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release

scenario: setup
	cmake --build $(BUILD) --target deckcart_program
	$(BUILD)/src/deckcart scenario $(DAY)

rehearse: scenario

test: setup
	cmake --build $(BUILD)
	ctest --test-dir $(BUILD) --output-on-failure -j4
