// A token bucket that limits the rate of calls to a shared service. Calls of lower importance leave
// a reserve of tokens in the bucket for calls of higher importance. Times are on the steady clock,
// in seconds.
#ifndef ZINCLEAD_CORE_TOKEN_BUCKET_H_
#define ZINCLEAD_CORE_TOKEN_BUCKET_H_

namespace zinclead::core {

// The importance of a call, the highest first.
enum class Importance { kLeadership = 0, kUser = 1, kNormal = 2, kBackground = 3 };

// Not thread-safe.
class TokenBucket {
 public:
  // `rate`: tokens per second; `burst`: tokens in a full bucket. The bucket is full at first.
  TokenBucket(double rate, double burst);
  // Takes `amount` tokens and returns true if the bucket holds that many beyond the reserve for
  // higher importance; otherwise takes none.
  bool Take(double now, double amount, Importance importance);
  // Returns the seconds until Take may succeed; 0 if it succeeds now. Does not block.
  double SecondsUntilAvailable(double now, double amount, Importance importance) const;
  // Empties the bucket, after the service has refused a call because of its rate limit.
  void Empty(double now);
  // Tokens per second.
  double rate() const { return tokens_per_s_; }

 private:
  double AvailableTokens(double now) const;
  double ReservedTokens(Importance importance) const;
  double tokens_per_s_;
  double burst_;
  double tokens_;
  double updated_at_ = 0;  // when tokens_ was computed
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_TOKEN_BUCKET_H_
