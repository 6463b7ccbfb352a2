# The two things to do on a fresh machine. `make rehearse` sets up and plays one day of trouble through real gateways;
# `make test` sets up and passes all tests.
BUILD ?= build-make
DAY ?= days/bad-build-and-crash.json

.PHONY: rehearse test setup

setup:
	deploy/install-packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release

rehearse: setup
	cmake --build $(BUILD) --target deckcart_program
	$(BUILD)/src/deckcart rehearse $(DAY)

test: setup
	cmake --build $(BUILD)
	ctest --test-dir $(BUILD) --output-on-failure -j4
