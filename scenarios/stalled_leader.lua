-- During a flood of submissions the leader is paused for longer than its lease, and resumes after
-- another controller has been elected; twice. The state service loses responses during the first
-- pause, and refuses writes for two seconds between the pauses.
local users = {
  { team = 0, tier = "standard", count = 3000, over_s = 20, heeds_retry_after = false },
}
for team = 1, 5 do
  -- Both tiers submit at the same times, so that their waits can be compared.
  for _, tier in ipairs({ "prod", "best_effort" }) do
    users[#users + 1] = { team = team, tier = tier, count = 4, over_s = 24, bounded = true }
  end
end
return {
  seconds = 90,
  teams = 6,
  users = users,
  extra_wait_s = 30,
  best_effort_at_least = 20,
  faults = {
    { kind = "pause_controller", at_s = random(4, 6), for_s = 3 },
    { kind = "store_loses_answers", at_s = 5, for_s = 2 },
    { kind = "store_refuses", at_s = 14, for_s = 2 },
    { kind = "pause_controller", at_s = random(18, 20), for_s = 2 },
  },
}
