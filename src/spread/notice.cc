#include <algorithm>
#include <utility>

#include "spread/internal.h"

namespace teaselspread::spread {
namespace {

constexpr std::size_t kMaxNoticesSent = 16;
// One notice in this many goes to a configured address instead of a learned
// one, so that a data centre whose speakers have all changed is reached again.
constexpr unsigned kConfiguredAddressOneIn = 4;

std::optional<Address> PickAddress(Call& call, const std::string& name) {
  const SpreadState& state = call.state;
  std::vector<Address> choices;
  const auto learned = state.remote_speakers.find(name);
  const bool use_learned = learned != state.remote_speakers.end() &&
                           call.rng() % kConfiguredAddressOneIn != 0;
  if (use_learned) {
    for (const SpeakerAddress& speaker : learned->second)
      choices.push_back(speaker.control);
  }
  if (choices.empty()) {
    const auto configured = state.settings.remotes.find(name);
    if (configured != state.settings.remotes.end())
      choices = configured->second;
  }
  if (choices.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> any(0, choices.size() - 1);
  return choices[any(call.rng)];
}

VersionNotice MakeNotice(Call& call, std::uint32_t sequence, bool reply) {
  SpreadState& state = call.state;
  VersionNotice notice;
  notice.from = SenderOf(state, call.now);
  notice.data_center = state.data_center;
  notice.sequence = sequence;
  notice.reply = reply;
  for (const std::string& id : ReadersOf(state)) {
    const auto peer = state.peers.find(id);
    notice.speakers.push_back(
        {id, peer == state.peers.end() ? state.control : peer->second.control});
  }
  return notice;
}

// A version counts as fresh for this long after the read that proved it.
constexpr std::uint32_t kMaxFreshAgeMs = 1000;

}  // namespace

void TickHeartbeat(Call& call) {
  SpreadState& state = call.state;
  if (call.now < state.next_heartbeat)
    return;
  state.next_heartbeat = call.now + state.settings.heartbeat_interval;
  if (state.reader_position >= state.settings.readers ||
      !IsReader(state, call.now))
    return;
  for (const std::string& id : ReadersOf(state, true)) {
    const auto peer = state.peers.find(id);
    if (peer != state.peers.end())
      Send(call, peer->second.control, MakeNotice(call, 0, true));
  }
}

void TickNotices(Call& call) {
  SpreadState& state = call.state;
  if (call.now < state.next_notice)
    return;
  const Duration interval = state.settings.notice_interval;
  state.next_notice = call.now + interval / 2 + RandomUpTo(interval, call.rng);
  if (!IsReader(state, call.now))
    return;
  std::vector<std::string> names;
  for (const auto& [name, addresses] : state.settings.remotes) {
    if (name != state.data_center)
      names.push_back(name);
  }
  std::shuffle(names.begin(), names.end(), call.rng);
  names.resize(std::min(names.size(), state.settings.notice_fan_out));
  const std::uint32_t sequence = state.next_sequence++;
  state.notices_sent[sequence] = call.now;
  while (state.notices_sent.size() > kMaxNoticesSent)
    state.notices_sent.erase(state.notices_sent.begin());
  for (const std::string& name : names) {
    if (const std::optional<Address> to = PickAddress(call, name))
      Send(call, *to, MakeNotice(call, sequence, false));
  }
}

void ReceiveNotice(Call& call, const VersionNotice& notice) {
  SpreadState& state = call.state;
  if (notice.data_center == state.data_center) {
    if (notice.from.log_age_ms <= kMaxFreshAgeMs)
      state.last_reader_heartbeat = call.now;
    return;
  }
  if (state.settings.remotes.contains(notice.data_center))
    state.remote_speakers[notice.data_center] = notice.speakers;
  if (!notice.reply)
    Send(call, notice.from.control, MakeNotice(call, notice.sequence, true));
  const auto sent = state.notices_sent.find(notice.sequence);
  if (notice.reply && sent != state.notices_sent.end() &&
      notice.from.log_age_ms != kAgeUnknown) {
    UpdateFreshness(
        call, notice.from.held,
        sent->second - std::chrono::milliseconds(notice.from.log_age_ms));
  }
  if (notice.from.held <= TipOf(state))
    return;
  state.remote_source = {notice.from.control, notice.from.held};
  state.highest_known = std::max(state.highest_known, notice.from.held);
  SchedulePull(call, Duration::zero());
}

}  // namespace teaselspread::spread
