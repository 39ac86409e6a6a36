-- For CI, 30 seconds: during a flood of submissions the leader is paused, the state service loses
-- responses, and controller 0 is killed.
local users = {
  { team = 0, tier = "standard", count = 1500, over_s = 8, heeds_retry_after = false },
}
for team = 1, 3 do
  local over_s = random(4, 7) -- equal for all tiers, so that their waits can be compared
  for _, tier in ipairs({ "prod", "standard", "best_effort" }) do
    users[#users + 1] =
      { team = team, tier = tier, count = 3, start_s = 1, over_s = over_s, bounded = true }
  end
end
return {
  seconds = 30,
  teams = 4,
  users = users,
  extra_wait_s = 30,
  best_effort_at_least = 9,
  faults = {
    { kind = "pause_controller", at_s = 3, for_s = 2 },
    { kind = "store_loses_answers", at_s = 4, for_s = 1 },
    { kind = "kill_controller", at_s = 7, for_s = 1, controller = 0 },
  },
}
