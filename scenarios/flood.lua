-- One team submits 10,000 jobs through all controllers and retries every second, ignoring
-- Retry-After. Eleven other teams submit a few jobs each, which must be accepted within the
-- wait bound.
local users = {
  { team = 0, tier = "standard", count = 10000, over_s = 20, heeds_retry_after = false },
}
for team = 1, 11 do
  for _, tier in ipairs({ "prod", "standard", "best_effort" }) do
    for _ = 1, 3 do
      users[#users + 1] =
        { team = team, tier = tier, count = 1, start_s = random(3, 20), bounded = true }
    end
  end
end
return { seconds = 75, teams = 12, write_rps = 20, users = users, best_effort_at_least = 33 }
