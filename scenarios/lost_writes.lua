-- The state service refuses writes for four seconds, and the leader is killed during that time: the
-- next leader must know every job that users were told was accepted.
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
