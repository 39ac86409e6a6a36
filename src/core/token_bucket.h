// Tokens for calls to a shared service, handed out by importance: lesser calls leave a reserve that
// only greater ones may use.
#ifndef ZINCLEAD_CORE_TOKEN_BUCKET_H_
#define ZINCLEAD_CORE_TOKEN_BUCKET_H_

namespace zinclead::core {

enum class Importance { kLeadership = 0, kUser = 1, kNormal = 2, kBackground = 3 };

class TokenBucket {
 public:
  TokenBucket(double rate, double burst);
  // Takes `amount` tokens if they are there beyond the reserve of greater importance.
  bool Take(double now, double amount, Importance importance);
  // Seconds until Take may succeed, 0 if now.
  double Wait(double now, double amount, Importance importance) const;
  // The service says that we ask too much: forgets what was saved up.
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
