#include "process/sidecar/direct_grants.h"

namespace bamboograde::process::sidecar {

namespace {

// Upstreams of a former process of this daemon hold its last grants for the hold time after their
// arrival; the margin covers the drift of clocks.
constexpr common::milliseconds kInheritedMargin{ 150 };
// Longer response bodies are cut off; the calls' responses have none.
constexpr size_t kMaxBodyBytes = size_t(16) * 1024;

key_call_answer ReadAnswer(const upstream_codec& aCodec, grant_call::kind aPurpose,
                           const connection::http::response_head& aHead)
{
  return aPurpose == grant_call::kind::kGrant ? aCodec.ReadGrantAnswer(aHead)
                                              : aCodec.ReadReleaseAnswer(aHead);
}

grant_call_result ResultOf(key_call_answer::outcome aOutcome)
{
  switch (aOutcome) {
    case key_call_answer::outcome::kDone:
      return grant_call_result::kDone;
    case key_call_answer::outcome::kSuperseded:
      return grant_call_result::kSuperseded;
    case key_call_answer::outcome::kInvalid:
      break;
  }
  return grant_call_result::kUnknown;
}

} // namespace

// One call in progress.
class direct_grants::key_exchange : private connection::http::call_observer
{
public:
  key_exchange(direct_grants& aOwner, const grant_call& aCall)
    : mOwner(aOwner)
    , mCall(aCall)
    , mTimer(aOwner.mRuntime.loop, [this] { OnDeadline(); })
  {
  }
  ~key_exchange() override
  {
    if (mClientCall != nullptr) {
      mClientCall->Cancel();
    }
  }

  void Start()
  {
    const version::upstream_id& upstream = mOwner.mGate.Upstream();
    key_call call = mCall.purpose == grant_call::kind::kGrant
                      ? mOwner.mCodec.EncodeGrant(upstream, mCall.range, mCall.holdTime)
                      : mOwner.mCodec.EncodeRelease(upstream, mCall.range);
    mId = common::request_id(common::MakeUniqueId());
    mOwner.mRuntime.headers.WriteAnswered(mId, &call.head.headers);
    mTimer.Arm(mCall.deadline);
    // Responses do not name their call, so a late copy of a response could be taken for the one to
    // the next call on its connection. The last connection stays open until then, because its end
    // shows that the upstream has ended.
    mOwner.mPool.CloseIdleConnections(mOwner.mGate.Address());
    mClientCall =
      mOwner.mPool.Send(mOwner.mGate.Address(), call.head, call.body, true, mCall.deadline, this);
    mClientCall->SendBy(mCall.deadline);
  }

private:
  bool IsOwnResponse(const connection::http::response_head& aHead) override
  {
    common::request_id answered = mOwner.mRuntime.headers.AnsweredRequest(aHead.headers);
    return answered.Empty() || answered == mId;
  }
  void OnCallHead(connection::http::response_head& aHead) override
  {
    mAnswer = ReadAnswer(mOwner.mCodec, mCall.purpose, aHead);
  }
  void OnCallBody(std::string_view aBytes) override
  {
    mBodyBytes += aBytes.size();
    if (mBodyBytes > kMaxBodyBytes && mClientCall != nullptr) {
      mClientCall->Cancel();
      End(grant_call_result::kUnknown, "response too large");
    }
  }
  void OnCallEnd() override
  {
    grant_call_result result = ResultOf(mAnswer.result);
    End(result, result == grant_call_result::kUnknown ? "unexpected status" : "");
  }
  void OnCallFailed(const connection::http::call_error& aError) override
  {
    if (aError.disconnected) {
      mOwner.mSchedule.OnDisconnected();
    }
    bool notSent = aError.failure == connection::http::call_failure::kNotSent;
    End(notSent ? grant_call_result::kNotSent : grant_call_result::kUnknown, aError.reason);
  }
  void OnDeadline()
  {
    bool sent = mClientCall->MayHaveBeenSent();
    mClientCall->Cancel();
    End(sent ? grant_call_result::kUnknown : grant_call_result::kNotSent, "deadline passed");
  }
  // Deletes this exchange after the event.
  void End(grant_call_result aResult, const char* aReason)
  {
    mTimer.Cancel();
    mClientCall.reset();
    mOwner.OnResult(mCall, aResult, mAnswer.handover, aReason);
  }

  direct_grants& mOwner;
  grant_call mCall;
  connection::http::loop_timer mTimer;
  connection::http::client_call_ptr mClientCall;
  common::request_id mId;
  key_call_answer mAnswer;
  size_t mBodyBytes = 0;
};

direct_grants::direct_grants(runtime& aRuntime, const upstream_codec& aCodec, upstream_gate& aGate,
                             key_grantor& aGrantor, common::milliseconds aHoldTime)
  : mRuntime(aRuntime)
  , mCodec(aCodec)
  , mGate(aGate)
  , mGrantor(aGrantor)
  , mHoldTime(aHoldTime)
  , mSchedule(aHoldTime)
  , mPool(aRuntime.loop)
{
  mPool.SetDisconnectObserver([this] { mSchedule.OnDisconnected(); });
}

direct_grants::~direct_grants() = default;

void direct_grants::OnStarted(bool aMayHoldKeys)
{
  mSchedule.OnStarted(aMayHoldKeys ? mRuntime.Now() + mHoldTime + kInheritedMargin
                                   : common::boot_time());
  mExchanges.clear();
  // The gate has forgotten the keys of the former incarnation.
  mGateRanges.clear();
  mPool.CloseIdleConnections(mGate.Address());
}

void direct_grants::OnAnnouncement(const announcement& /*aAnnouncement*/)
{
  mSchedule.OnAnnouncement(mRuntime.Now());
  Update();
}

void direct_grants::Update()
{
  // Sending and reporting may change the ranges, which calls this function again.
  if (mUpdating) {
    return;
  }
  mUpdating = true;
  if (mGrantor.HasSession()) {
    auto calls = mSchedule.Due(mGrantor.GrantableRanges(), mGrantor.LeaseEnd(), mRuntime.Now());
    mGrantor.OnOthersExcluded();
    for (const grant_call& call : calls) {
      Send(call);
    }
  }
  UpdateGate();
  ReportChanges();
  mUpdating = false;
}

void direct_grants::Send(const grant_call& aCall)
{
  bool isGrant = aCall.purpose == grant_call::kind::kGrant;
  mRuntime.counters.Add(isGrant ? "bamboograde_grant_calls_total"
                                : "bamboograde_release_calls_total");
  auto& exchange = mExchanges[aCall.id];
  exchange = std::make_unique<key_exchange>(*this, aCall);
  exchange->Start();
}

void direct_grants::OnResult(const grant_call& aCall, grant_call_result aResult,
                             const std::string& aHandover, const char* aReason)
{
  common::boot_time now = mRuntime.Now();
  bool isGrant = aCall.purpose == grant_call::kind::kGrant;
  if (aResult != grant_call_result::kDone) {
    mRuntime.counters.Add("bamboograde_key_calls_failed_total");
  }
  if (aResult != grant_call_result::kDone || !isGrant) {
    mRuntime.log.Write(line_class::kState, isGrant ? "grant_failed" : "keys_released", [&] {
      return common::json{ { "first", aCall.range.range.first },
                           { "last", aCall.range.range.last },
                           { "fence", aCall.range.token.Value() },
                           { "done", aResult == grant_call_result::kDone },
                           { "superseded", aResult == grant_call_result::kSuperseded },
                           { "handover", !aHandover.empty() },
                           { "reason", aReason } };
    });
  }
  mSchedule.OnResult(aCall.id, aResult, aHandover, now);
  // Also updates after the event in which the call has ended.
  mRuntime.loop.Defer([this, id = aCall.id] {
    mExchanges.erase(id);
    Update();
  });
}

void direct_grants::UpdateGate()
{
  common::boot_time until;
  std::vector<version::held_range> held = mSchedule.Held(mRuntime.Now(), &until);
  if (held != mGateRanges || until != mGateUntil) {
    mGateRanges = held;
    mGateUntil = until;
    mGate.SetKeys(std::move(held), until);
  }
}

void direct_grants::ReportChanges()
{
  mGrantor.OnReport(mSchedule.TakeReport(mRuntime.Now()));
}

} // namespace bamboograde::process::sidecar
