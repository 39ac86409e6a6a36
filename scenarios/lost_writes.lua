-- The state service takes no change for four seconds, and the leader ends in the midst of them: what
-- was told as accepted must be known to the next leader.
local users = {}
for team = 0, 3 do
  users[#users + 1] = { team = team, tier = "prod", count = 40, over_s = 15, bounded = true }
end
return {
  seconds = 30,
  teams = 4,
  users = users,
  extra_wait_s = 30,
  faults = {
    { kind = "store_refuses", at_s = 4, for_s = 4 },
    { kind = "kill_controller", at_s = random(6, 7), for_s = 1 },
  },
}
