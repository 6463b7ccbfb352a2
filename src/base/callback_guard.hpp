// The one idiom for callbacks that may outlive the object that they call into: the owner holds a
// CallbackGuard and wraps its callbacks in it. Objects that own a socket are kept alive by the
// operations on it instead (std::enable_shared_from_this). One thread; not for use across threads.
#pragma once

#include <memory>
#include <utility>

namespace deckcart {

/// Passes calls on while it exists and drops them afterwards. Members are destroyed in reverse
/// order: a guard that stands last among the members ends first.
class CallbackGuard {
  public:
    CallbackGuard() = default;
    CallbackGuard(const CallbackGuard &) = delete;
    CallbackGuard &operator=(const CallbackGuard &) = delete;

    /// A callback with the same arguments that does nothing once this guard is gone.
    template <class Callback>
    [[nodiscard]] auto wrap(Callback callback) const {
        return [token = token(), callback = std::move(callback)](auto &&...arguments) mutable {
            if (!token.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// For a callback that has something left to do when the owner is gone: expired() from then on.
    [[nodiscard]] std::weak_ptr<const bool> token() const { return alive; }

  private:
    std::shared_ptr<const bool> alive = std::make_shared<const bool>(true);
};

}  // namespace deckcart
