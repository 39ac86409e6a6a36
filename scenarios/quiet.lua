-- Low load without faults: every job is accepted at its first submission.
return {
  seconds = 15,
  teams = 2,
  write_rps = 50,
  users = {
    { team = 0, tier = "prod", count = 20, over_s = 10, bounded = true },
    { team = 1, tier = "best_effort", count = 20, over_s = 10, bounded = true },
  },
  best_effort_at_least = 20,
}
