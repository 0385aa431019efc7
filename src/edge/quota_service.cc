#include "edge/quota_service.h"

#include <algorithm>
#include <array>
#include <random>
#include <utility>

#include "teaselspread/logging.h"

namespace teaselspread {
namespace {

// A request waits this long for its token. An answer takes one network round
// trip; requests of urgent routes have 120 ms in all.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(100);
// A node that decides alone asks the lender again after this time.
constexpr Duration kAskAgainAfter = std::chrono::milliseconds(500);
// Refunded tokens are returned together after this time, if no request for
// tokens takes them back before. Less than a quarter of their lifetime.
constexpr Duration kReturnDelay = std::chrono::milliseconds(50);
// Retry-After of requests that came before the list of nodes was read.
constexpr Duration kUnsettledRetryAfter = std::chrono::milliseconds(100);

// A node that has learned the roster neither from the store nor from a peer
// decides after this time with the nodes that it knows. The census forgets lost
// nodes as late.
constexpr Duration kRosterGrace = std::chrono::seconds(60);

constexpr std::int64_t kMicrosPerMilli = 1000;

// Rounded up, so that a token is there after the delay.
std::uint32_t RetryMillis(Duration delay) {
  const std::int64_t millis =
      (delay.count() + kMicrosPerMilli - 1) / kMicrosPerMilli;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(millis, 0, kMaxQuotaRetryMs));
}

}  // namespace

std::string_view NameOf(QuotaEvent event) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(QuotaEvent::kCount)>
      kNames = {"admitted",     "denied",    "admitted-alone",
                "denied-alone", "cancelled", "refunded"};
  return kNames.at(static_cast<std::size_t>(event));
}

std::string_view NameOf(TokenRequestResult result) {
  static constexpr std::array<std::string_view, static_cast<std::size_t>(
                                                    TokenRequestResult::kCount)>
      kNames = {"granted",   "no-tokens", "not-lender",
                "no-answer", "link-lost", "no-lender"};
  return kNames.at(static_cast<std::size_t>(result));
}

QuotaService::QuotaService(const QuotaNode& own,
                           const QuotaBounds& bounds,
                           QuotaIo quota_io)
    : self(own.name),
      self_mbit(own.line_mbit),
      io(std::move(quota_io)),
      started_at(this->io.now()),
      rng(std::random_device{}()) {
  this->borrower.bounds = bounds;
  this->lender.bounds = bounds;
  this->census.self = this->self;
}

void QuotaService::SetLimits(const Limits& limits) {
  this->RemoveAccounts(limits);
  for (const auto& [account, limit] : limits)
    this->accounts[account].limit = limit;
  this->SelectLenders();
}

void QuotaService::RemoveAccounts(const Limits& kept) {
  std::vector<Done> admitted;
  for (auto row = this->accounts.begin(); row != this->accounts.end();) {
    auto& [account, state] = *row;
    if (kept.contains(account)) {
      ++row;
      continue;
    }
    for (WaitingRequest& request : state.waiting)
      admitted.push_back(std::move(request.done));
    this->ForgetSentRequest(state);
    StopLending(this->lender, account);
    this->borrower.accounts.erase(account);
    row = this->accounts.erase(row);
  }
  for (const Done& done : admitted)
    done({QuotaOutcome::kAdmitted, {}});
}

QuotaService::LimitedAccount* QuotaService::Find(std::string_view account) {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? nullptr : &found->second;
}

void QuotaService::Acquire(std::uint64_t request,
                           std::string_view account,
                           Done done) {
  LimitedAccount* row = this->Find(account);
  if (row == nullptr) {
    done({QuotaOutcome::kAdmitted, {}});
    return;
  }
  if (row->waiting.empty()) {
    const QuotaDecision decision = this->Decide(account, *row);
    if (decision.outcome != QuotaOutcome::kMustBorrow) {
      this->Complete(*row, done, decision);
      return;
    }
  }
  row->waiting.push_back({request, std::move(done), this->io.now()});
  this->Borrow(std::string(account), *row);
}

void QuotaService::Cancel(std::uint64_t request, std::string_view account) {
  LimitedAccount* row = this->Find(account);
  if (row == nullptr)
    return;
  const std::size_t removed =
      std::erase_if(row->waiting, [request](const WaitingRequest& waiting) {
        return waiting.id == request;
      });
  this->events.Add(QuotaEvent::kCancelled, removed);
}

void QuotaService::Refund(std::string_view account) {
  if (this->Find(account) == nullptr)
    return;
  this->events.Add(QuotaEvent::kRefunded);
  teaselspread::Refund(this->borrower, account, this->io.now());
  this->ReturnLater(account);
}

QuotaDecision QuotaService::Decide(std::string_view account,
                                   LimitedAccount& row) {
  const TimePoint now = this->io.now();
  const QuotaDecision held = Spend(this->borrower, account, now);
  if (held.outcome != QuotaOutcome::kMustBorrow)
    return held;
  if (row.lender == this->self)
    return this->DecideAsLender(account, row);
  if (row.alone_since && now < row.ask_again_at)
    return this->DecideAlone(account, row);
  if (row.lender.empty() && this->roster_known) {
    this->BeginAlone(account, row, TokenRequestResult::kNoLender);
    return this->DecideAlone(account, row);
  }
  return held;
}

QuotaDecision QuotaService::DecideAlone(std::string_view account,
                                        LimitedAccount& row) {
  // A share of the nodes that happen to be linked would be too large.
  if (!this->roster_known)
    return {QuotaOutcome::kDenied, kUnsettledRetryAfter};
  return SpendAlone(this->borrower, account, row.limit, this->known_nodes,
                    this->io.now(), this->rng);
}

// Lends one token at a time: more would only wait here for their expiry.
QuotaDecision QuotaService::DecideAsLender(std::string_view account,
                                           LimitedAccount& row) {
  const TimePoint now = this->io.now();
  const TokenAsk ask = AskFor(this->borrower, account, 1, now);
  TakeBack(this->lender, account, row.limit, ask.unspent);
  const TokenGrant grant =
      Lend(this->lender, account, row.limit, this->share, 1, now);
  OnGrant(this->borrower, account, grant, now, now);
  row.answered_at = now;
  if (grant.tokens == 0)
    return {QuotaOutcome::kDenied, grant.retry_after};
  return Spend(this->borrower, account, now);
}

void QuotaService::Borrow(const std::string& account, LimitedAccount& row) {
  const TimePoint now = this->io.now();
  if (row.sent && !row.sent->timed_out)
    return;
  if (row.lender.empty()) {
    this->TickBy(row.waiting.front().since + kAnswerTimeout);
    return;
  }
  this->ForgetSentRequest(row);
  const auto waiting = static_cast<std::uint32_t>(
      std::min<std::size_t>(row.waiting.size(), kMaxTokensPerFrame));
  const TokenAsk ask = AskFor(this->borrower, account, waiting, now);
  TokenRequest request;
  request.sequence = ++this->last_sequence;
  request.account = account;
  request.wanted = std::min(ask.wanted, kMaxTokensPerFrame);
  request.unspent = std::min(ask.unspent, kMaxTokensPerFrame);
  row.sent = SentRequest{request.sequence, row.lender, now};
  this->sent_by_sequence[request.sequence] = account;
  if (this->io.send_request(row.lender, request)) {
    this->TickBy(now + kAnswerTimeout);
    return;
  }
  this->ForgetSentRequest(row);
  this->BeginAlone(account, row, TokenRequestResult::kLinkLost);
  this->Serve(account);
}

void QuotaService::ForgetSentRequest(LimitedAccount& row) {
  if (!row.sent)
    return;
  this->sent_by_sequence.erase(row.sent->sequence);
  row.sent.reset();
}

// Callbacks may acquire, cancel and refund, so the row is found anew for each.
void QuotaService::Serve(const std::string& account) {
  for (LimitedAccount* row = this->Find(account);
       row != nullptr && !row->waiting.empty(); row = this->Find(account)) {
    const QuotaDecision decision = this->Decide(account, *row);
    if (decision.outcome == QuotaOutcome::kMustBorrow) {
      this->Borrow(account, *row);
      return;
    }
    const WaitingRequest request = std::move(row->waiting.front());
    row->waiting.pop_front();
    this->Complete(*row, request.done, decision);
  }
}

void QuotaService::Complete(const LimitedAccount& row,
                            const Done& done,
                            const QuotaDecision& decision) {
  const bool admitted = decision.outcome == QuotaOutcome::kAdmitted;
  if (row.alone_since) {
    this->events.Add(admitted ? QuotaEvent::kAdmittedAlone
                              : QuotaEvent::kDeniedAlone);
  } else {
    this->events.Add(admitted ? QuotaEvent::kAdmitted : QuotaEvent::kDenied);
  }
  done(decision);
}

void QuotaService::BeginAlone(std::string_view account,
                              LimitedAccount& row,
                              TokenRequestResult cause) {
  const TimePoint now = this->io.now();
  this->token_requests.Add(cause);
  row.ask_again_at = now + kAskAgainAfter;
  if (row.alone_since)
    return;
  row.alone_since = now;
  Log(LogLevel::kWarning, "quota", "alone-begins",
      {{"account", account},
       {"lender", row.lender},
       {"reason", NameOf(cause)},
       {"known_nodes", this->known_nodes}});
}

void QuotaService::EndAlone(std::string_view account, LimitedAccount& row) {
  if (!row.alone_since)
    return;
  const Duration span = this->io.now() - *row.alone_since;
  row.alone_since.reset();
  Log(LogLevel::kInfo, "quota", "alone-ends",
      {{"account", account},
       {"lender", row.lender},
       {"for_ms", span.count() / kMicrosPerMilli}});
}

TokenGrantFrame QuotaService::OnTokenRequest(const TokenRequest& request) {
  TokenGrantFrame answer;
  answer.sequence = request.sequence;
  const LimitedAccount* row = this->Find(request.account);
  if (row == nullptr || row->lender != this->self)
    return answer;
  answer.is_lender = true;
  TakeBack(this->lender, request.account, row->limit, request.unspent);
  const TokenGrant grant = Lend(this->lender, request.account, row->limit,
                                this->share, request.wanted, this->io.now());
  answer.tokens = std::min(grant.tokens, kMaxTokensPerFrame);
  answer.retry_after_ms = RetryMillis(grant.retry_after);
  this->tokens_lent += answer.tokens;
  return answer;
}

void QuotaService::OnTokenGrant(const std::string& node,
                                const TokenGrantFrame& grant) {
  const auto found = this->sent_by_sequence.find(grant.sequence);
  if (found == this->sent_by_sequence.end())
    return;
  const std::string account = found->second;
  LimitedAccount& row = this->accounts.at(account);
  if (row.sent->node != node)
    return;
  const TimePoint sent_at = row.sent->sent_at;
  this->ForgetSentRequest(row);
  const bool is_current = row.lender == node;
  if (is_current && grant.is_lender)
    row.answered_at = this->io.now();
  if (grant.is_lender && (is_current || grant.tokens > 0)) {
    this->OnLenderAnswer(account, row, grant, sent_at, is_current);
  } else if (is_current) {
    this->BeginAlone(account, row, TokenRequestResult::kNotLender);
  } else {
    // Another lender has been selected since, and is asked now.
    this->token_requests.Add(TokenRequestResult::kNotLender);
  }
  this->Serve(account);
  this->ReturnLater(account);
}

void QuotaService::OnLenderAnswer(const std::string& account,
                                  LimitedAccount& row,
                                  const TokenGrantFrame& grant,
                                  TimePoint sent_at,
                                  bool is_current) {
  const TimePoint now = this->io.now();
  this->tokens_borrowed += grant.tokens;
  // Without a delay the requests that wait would ask again at once.
  const bool needs_delay = grant.tokens == 0 && grant.retry_after_ms == 0;
  const std::uint32_t retry_after_ms = needs_delay ? 1 : grant.retry_after_ms;
  OnGrant(this->borrower, account,
          {grant.tokens, std::chrono::milliseconds(retry_after_ms)}, sent_at,
          now);
  if (grant.tokens > 0 &&
      now - sent_at >= TokenLifetime(this->borrower.bounds)) {
    // The tokens have expired on the way, as those of a new request might.
    this->BeginAlone(account, row, TokenRequestResult::kNoAnswer);
    return;
  }
  this->token_requests.Add(grant.tokens > 0 ? TokenRequestResult::kGranted
                                            : TokenRequestResult::kNoTokens);
  // A former lender's tokens are used, but the current one has not answered.
  if (is_current)
    this->EndAlone(account, row);
}

void QuotaService::ReturnLater(std::string_view account) {
  const auto found = this->borrower.accounts.find(account);
  if (found == this->borrower.accounts.end())
    return;
  if (found->second.tokens > 0)
    this->TickBy(found->second.valid_until);
  else if (found->second.unspent > 0)
    this->TickBy(this->io.now() + kReturnDelay);
}

void QuotaService::ReturnUnspent() {
  for (const std::string& account :
       AccountsToReturn(this->borrower, this->io.now())) {
    const LimitedAccount* row = this->Find(account);
    const bool is_asking = row != nullptr && row->sent && !row->sent->timed_out;
    if (row != nullptr && !row->lender.empty() && !row->alone_since &&
        !is_asking)
      this->ReturnTo(row->lender, account);
  }
}

void QuotaService::ReturnTo(const std::string& lender_node,
                            const std::string& account) {
  const TokenAsk ask = AskFor(this->borrower, account, 0, this->io.now());
  if (lender_node == this->self) {
    TakeBack(this->lender, account, this->accounts.at(account).limit,
             ask.unspent);
    return;
  }
  TokenRequest request;
  // The answer, which nothing waits for, is ignored.
  request.sequence = ++this->last_sequence;
  request.account = account;
  request.unspent = std::min(ask.unspent, kMaxTokensPerFrame);
  (void)this->io.send_request(lender_node, request);
}

void QuotaService::OnNodeKnown(std::string_view node) {
  teaselspread::OnNodeKnown(this->census, node, this->io.now());
  this->RefreshCensus();
}

void QuotaService::OnRosterKnown() {
  if (this->roster_known)
    return;
  this->roster_known = true;
  this->SelectLenders();
}

void QuotaService::OnLinkUp(const std::string& node, std::uint32_t line_mbit) {
  const auto [found, added] = this->connected.try_emplace(node, line_mbit);
  if (!added && found->second == line_mbit)
    return;
  found->second = line_mbit;
  if (added)
    OnNodeReached(this->census, node, this->io.now());
  this->SelectLenders();
}

void QuotaService::OnLinkLost(const std::string& node) {
  if (this->connected.erase(node) == 0)
    return;
  this->leaving.erase(node);
  OnNodeLost(this->census, node, this->io.now());
  for (auto& [account, row] : this->accounts) {
    if (!row.sent || row.sent->node != node)
      continue;
    this->token_requests.Add(TokenRequestResult::kLinkLost);
    this->ForgetSentRequest(row);
  }
  this->SelectLenders();
}

void QuotaService::OnNodeLeaving(const std::string& node) {
  OnNodeLeft(this->census, node, this->io.now());
  this->leaving.insert(node);
  this->SelectLenders();
}

void QuotaService::OnNodeReplaced(const std::string& node) {
  OnNodeLeft(this->census, node, this->io.now());
  this->SelectLenders();
}

void QuotaService::BeginLeaving() {
  this->self_leaving = true;
  if (!this->IsActive())
    return;
  this->io.announce_leave();
  this->SelectLenders();
}

void QuotaService::SelectLenders() {
  if (!this->IsActive())
    return;
  this->RefreshCensus();
  std::vector<QuotaNode> nodes;
  for (const auto& [node, line_mbit] : this->connected) {
    if (!this->leaving.contains(node))
      nodes.push_back({node, line_mbit});
  }
  if (!this->self_leaving)
    nodes.push_back({this->self, this->self_mbit});
  std::vector<std::string> waiting;
  std::size_t changed = 0;
  std::size_t own = 0;
  for (auto& [account, row] : this->accounts) {
    const std::string_view selected = LenderOf(account, nodes);
    const bool too_early = selected == this->self && !this->roster_known;
    const std::string_view now_lends = too_early ? "" : selected;
    changed += this->SetLender(account, row, now_lends) ? 1 : 0;
    own += now_lends == this->self ? 1 : 0;
    if (!row.waiting.empty())
      waiting.push_back(account);
  }
  if (changed > 0) {
    Log(LogLevel::kInfo, "quota", "lenders-selected",
        {{"accounts", this->accounts.size()},
         {"changed", changed},
         {"own", own},
         {"nodes", nodes.size()},
         {"known_nodes", this->known_nodes}});
  }
  for (const std::string& account : waiting)
    this->Serve(account);
}

bool QuotaService::SetLender(const std::string& account,
                             LimitedAccount& row,
                             std::string_view selected) {
  if (row.lender == selected)
    return false;
  if (row.lender == this->self)
    StopLending(this->lender, account);
  row.lender = selected;
  row.answered_at.reset();
  // The new lender is asked at once.
  row.ask_again_at = TimePoint{};
  if (row.lender != this->self)
    return true;
  BeginLending(this->lender, account, this->io.now());
  this->EndAlone(account, row);
  return true;
}

void QuotaService::RefreshCensus() {
  const TimePoint now = this->io.now();
  this->known_nodes = CountKnown(this->census, now);
  this->share = ReachedShare(this->census, now);
}

void QuotaService::DenyUnsettled(const std::string& account) {
  const TimePoint now = this->io.now();
  for (LimitedAccount* row = this->Find(account);
       row != nullptr && row->lender.empty() && !row->waiting.empty() &&
       now - row->waiting.front().since >= kAnswerTimeout;
       row = this->Find(account)) {
    const WaitingRequest request = std::move(row->waiting.front());
    row->waiting.pop_front();
    this->Complete(*row, request.done,
                   {QuotaOutcome::kDenied, kUnsettledRetryAfter});
  }
}

void QuotaService::Tick() {
  this->tick_due = TimePoint{};
  if (!this->IsActive())
    return;
  this->RefreshCensus();
  const TimePoint now = this->io.now();
  if (now - this->started_at >= kRosterGrace)
    this->OnRosterKnown();
  std::vector<std::string> to_serve;
  std::vector<std::string> unsettled;
  for (auto& [account, row] : this->accounts) {
    if (row.lender.empty() && !row.waiting.empty())
      unsettled.push_back(account);
    if (!row.sent || row.sent->timed_out ||
        now - row.sent->sent_at < kAnswerTimeout)
      continue;
    row.sent->timed_out = true;
    this->BeginAlone(account, row, TokenRequestResult::kNoAnswer);
    to_serve.push_back(account);
  }
  for (const std::string& account : unsettled)
    this->DenyUnsettled(account);
  for (const std::string& account : to_serve)
    this->Serve(account);
  this->ReturnUnspent();
  if (const TimePoint due = this->NextDue(); due != TimePoint{})
    this->TickBy(due);
}

TimePoint QuotaService::NextDue() const {
  TimePoint next;
  const auto add = [&next](TimePoint due) {
    next = next == TimePoint{} ? due : std::min(next, due);
  };
  for (const auto& [account, row] : this->accounts) {
    if (row.sent && !row.sent->timed_out)
      add(row.sent->sent_at + kAnswerTimeout);
    else if (row.lender.empty() && !row.waiting.empty())
      add(row.waiting.front().since + kAnswerTimeout);
  }
  for (const auto& [account, borrowed] : this->borrower.accounts) {
    if (borrowed.tokens > 0)
      add(borrowed.valid_until);
  }
  return next;
}

void QuotaService::TickBy(TimePoint due) {
  if (this->tick_due != TimePoint{} && this->tick_due <= due)
    return;
  this->tick_due = due;
  this->io.tick_after(std::max(due - this->io.now(), Duration{0}));
}

QuotaStanding QuotaService::StandingOf(std::string_view account) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end())
    return {};
  const LimitedAccount& row = found->second;
  QuotaStanding standing{row.lender, std::nullopt, row.alone_since.has_value()};
  if (row.answered_at)
    standing.answer_age = this->io.now() - *row.answered_at;
  return standing;
}

}  // namespace teaselspread
