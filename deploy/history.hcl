# How much of each team's history is kept: GET /v1/teams/{equipe}/history (docs/workspaces.md). The oldest ended
# jobs go, many at a time, when there are more than `jobs` of the team's or when they ended more than `days` ago.
# What a poll is told of an ended job stays for ever in any case.
#
#     cleatfold --config settings.toml --operator deploy/history.hcl
history {
  jobs = 20000
  days = 90
}
