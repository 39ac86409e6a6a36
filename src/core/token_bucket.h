// A token bucket for calls to a shared service, with a reserve for important calls: each importance
// leaves tokens in the bucket that only greater ones may use. Times are seconds on the steady
// clock.
#ifndef ZINCLEAD_CORE_TOKEN_BUCKET_H_
#define ZINCLEAD_CORE_TOKEN_BUCKET_H_

namespace zinclead::core {

// From the greatest to the least.
enum class Importance { kLeadership = 0, kUser = 1, kNormal = 2, kBackground = 3 };

class TokenBucket {
 public:
  // `rate`: tokens a second; `burst`: tokens that a full bucket holds, which it does at first.
  TokenBucket(double rate, double burst);
  // Takes `amount` tokens if the bucket holds them beyond the reserve for greater importance.
  bool Take(double now, double amount, Importance importance);
  // Seconds until Take may succeed, 0 if now.
  double Wait(double now, double amount, Importance importance) const;
  // The service has refused calls as too many: empties the bucket.
  void Drain(double now);
  double rate() const { return rate_; }

 private:
  double Level(double now) const;
  double Reserve(Importance importance) const;
  double rate_;
  double burst_;
  double level_;
  double at_ = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_TOKEN_BUCKET_H_
