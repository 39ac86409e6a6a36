-- The leader is killed twice during a flood of submissions. The reservations and credits that it
-- granted are lost with it; the wait bound must hold nevertheless.
local users = {
  { team = 0, tier = "standard", count = 4000, over_s = 20 },
}
for team = 1, 5 do
  users[#users + 1] = { team = team, tier = "standard", count = 3, over_s = 20, bounded = true }
end
return {
  seconds = 90,
  teams = 6,
  users = users,
  extra_wait_s = 30,
  faults = {
    { kind = "kill_controller", at_s = 6, for_s = 1 },
    { kind = "kill_controller", at_s = random(9, 11), for_s = 2 },
  },
}
