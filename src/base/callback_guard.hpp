// For callbacks that may be invoked after the object that they access has been destroyed: the
// object has a CallbackGuard as a member and wraps its callbacks with it. Objects that own a socket
// are kept alive by their pending operations instead (std::enable_shared_from_this). Not
// thread-safe.
#pragma once

#include <memory>
#include <utility>

namespace deckcart {

/// Forwards calls while it exists and drops them afterwards. Declare it as the last member of its
/// owner: members are destroyed in reverse order, so that calls are dropped before any other member
/// is destroyed.
class CallbackGuard {
  public:
    CallbackGuard() = default;
    CallbackGuard(const CallbackGuard &) = delete;
    CallbackGuard &operator=(const CallbackGuard &) = delete;

    /// Returns a callback with the same parameters that does nothing once this guard is destroyed.
    template <class Callback>
    [[nodiscard]] auto wrap(Callback callback) const {
        return [token = token(), callback = std::move(callback)](auto &&...arguments) mutable {
            if (!token.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// A token that expires when this guard is destroyed, for callbacks that still have work to do
    /// after that.
    [[nodiscard]] std::weak_ptr<const bool> token() const { return alive; }

  private:
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace deckcart
