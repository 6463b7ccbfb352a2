#include "control_plane.hpp"

#include "../base/back_off.hpp"
#include "json_values.hpp"

namespace deckcart::platform {

constexpr std::size_t kMostList = 8 * 1024 * 1024;
constexpr Duration kNever =
    std::chrono::hours(24 * 365);  // a leg's own silence: the stream watches it

Duration onClock(std::int64_t unixMs) {
    static const Duration offset =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch() -
                                             std::chrono::steady_clock::now().time_since_epoch());
    return Duration{unixMs * 1000} - offset;
}

EndpointListUpdate listTold(const Members &told) {
    EndpointListUpdate out{told.complete, {}};
    for (const auto &m : told.members) {
        out.entries.push_back(m.entry);
        if (m.startedAtMs > 0)
            out.entries.back().startedAt = onClock(m.startedAtMs);
    }
    return out;
}

// ---- streams ----

struct Stream::Leg {
    std::shared_ptr<http::Fetch> fetch;
    Reader reader;
    std::chrono::steady_clock::time_point spoke{};  // before its first word: opened
    bool dead = false;
};

Stream::Stream(asio::io_context &io, StreamTimes with, http::Fetch::Cut cutAt, std::uint64_t seed,
               Log to, const char *named, std::function<std::string()> path,
               std::function<Reader()> readers)
    : context(io), times(with), cut(cutAt), chance(std::mt19937::result_type(seed)),
      log(std::move(to)), name(named), target(std::move(path)), reader(std::move(readers)),
      timer(io), watchdog(io) {}

Stream::~Stream() {
    *alive = false;
    drop(standing), drop(coming);
}

void Stream::drop(std::shared_ptr<Leg> &leg) {
    if (!leg)
        return;
    leg->dead = true;
    if (const auto fetch = std::exchange(leg->fetch, nullptr))
        fetch->stop();
    leg = nullptr;
}

void Stream::open(const asio::ip::tcp::endpoint &to) {
    address = to;
    failures = mute = 0;
    start();
}

void Stream::start() {
    drop(coming);
    timer.cancel();
    const auto leg = std::make_shared<Leg>();
    leg->reader = reader(), leg->spoke = std::chrono::steady_clock::now();
    http::RequestHead head;
    head.method = "GET", head.target = target();
    coming = leg;
    leg->fetch = http::Fetch::start(
        context, address, head, {}, kNever,
        [this, leg, here = std::weak_ptr(alive)](const http::Fetched &) {
            if (here.expired() || leg->dead)
                return;
            leg->dead = true, leg->fetch = nullptr;
            if (leg == standing)
                standing = nullptr;
            if (leg == coming)
                coming = nullptr;
            if (!coming)
                again();
        },
        [this, leg, here = std::weak_ptr(alive)](std::string_view bytes) {
            if (!here.expired() && !leg->dead)
                said(leg, bytes);
        },
        cut);
    watch();
}

// The one that stands goes with the first whole word of the new one, not with half of it.
void Stream::said(const std::shared_ptr<Leg> &leg, std::string_view bytes) {
    bool whole = false, readable = true;
    try {
        whole = leg->reader(bytes);
    } catch (const std::exception &fault) {
        log.warn("unreadable", {{"stream", name}, {"fault", fault.what()}});
        readable = false;
    }
    if (leg->dead)
        return;  // what it told has moved the stream
    if (whole)
        leg->spoke = std::chrono::steady_clock::now();
    if (whole && leg == coming) {
        drop(standing);
        standing = std::exchange(coming, nullptr);
        failures = mute = 0;
        watch();
    }
    if (readable)
        return;
    drop(leg == standing ? standing : coming);
    if (!coming)
        again();
}

// Silence: another one is opened beside the one that stands, which may still speak first. One that
// is mute from the start is opened anew sooner; each in a row has longer, so that a slow one is
// heard in the end.
void Stream::watch() {
    if (!coming && !standing)
        return;
    const auto due = [this] {
        if (!coming)
            return standing->spoke + times.silentFor;
        return coming->spoke + backedOff(times.firstWord, times.silentFor, mute, 1);
    };
    watchdog.expires_at(due());
    watchdog.async_wait([this, due, here = std::weak_ptr(alive)](asio::error_code fault) {
        if (fault || here.expired() || (!coming && !standing))
            return;
        if (std::chrono::steady_clock::now() < due())
            return watch();
        mute += coming != nullptr;
        start();
    });
}

void Stream::again() {
    const double part = 0.5 + 0.5 * double(chance()) / 4294967296.0;
    timer.expires_after(backedOff(times.first, times.most, failures++, part));
    timer.async_wait([this, here = std::weak_ptr(alive)](asio::error_code fault) {
        if (!fault && !here.expired() && !coming)
            start();
    });
}

// ---- the control plane ----

PlatformControlPlaneClient::PlatformControlPlaneClient(asio::io_context &io, Directory &where,
                                                       const simulator::DeploymentSettings &with,
                                                       At places, std::uint64_t seed, Log to,
                                                       std::int64_t known,
                                                       ControlPlaneObserver from)
    : context(io), directory(where), settings(with), at(places), log(std::move(to)),
      owner(std::move(from)), generation(known),
      list(
          io, listTimes(), http::Fetch::Cut::nowhere, seed, log, "discovery",
          [this] { return "/discovery/hosts?stream=1&index=" + std::to_string(generation); },
          [this]() -> Stream::Reader {
              return
                  [this, values = std::make_shared<JsonValues>(kMostList)](std::string_view bytes) {
                      const auto whole = values->feed(bytes);
                      for (const auto &text : whole)
                          took(readMembers(nlohmann::json::parse(text), settings.zones));
                      return !whole.empty() || !values->inside();  // or a sign of life
                  };
          }),
      bulletin(
          io, bulletinTimes(), http::Fetch::Cut::atLines, seed + 1, log, "bulletin",
          [] { return std::string("/apis/fleet/bulletin"); },
          [this]() -> Stream::Reader {
              return [this, events = std::make_shared<EventLines>()](std::string_view line) {
                  const auto event = events->line(line);
                  if (!event)
                      return true;
                  if (event->first == "news")
                      owner.tell(readNews(readForm(event->second)));
                  else if (event->first == "counts")
                      owner.tell(readCounts(readForm(event->second), settings.routes));
                  return true;
              };
          }) {
    list.open(at.discovery);
    bulletin.open(at.control);
}

// The streams stand always: the platform sends by itself, also where the module would ask.
void PlatformControlPlaneClient::follow(bool) {}

void PlatformControlPlaneClient::move(const At &to) {
    if (to.discovery != at.discovery)
        list.open(to.discovery);
    if (to.control != at.control)
        bulletin.open(to.control);
    at = to;
}

void PlatformControlPlaneClient::took(const Members &told) {
    if (told.generation < generation)
        return;  // overtaken: it changes nothing
    generation = told.generation;
    directory.note(told);
    owner.tell(listTold(told));
}

void PlatformControlPlaneClient::vote(const Vote &vote, Duration within) {
    http::RequestHead head;
    head.method = "POST", head.target = "/apis/fleet/";
    head.headers = {{"Content-Type", "application/x-www-form-urlencoded"}};
    calls.add(http::Fetch::start(
        context, at.control, head, voteForm(vote), within, [this](const http::Fetched &got) {
            if (got.inTime && got.outcome == CallEnd::complete)
                return owner.tell(readVoteAnswer(got.head.status, got.body));
            // Not carried out where nothing was handed over; else it may have been.
            owner.tell(voteFailed(got.startedSending ? Outcome::timeout : Outcome::error));
        }));
}

}  // namespace deckcart::platform
