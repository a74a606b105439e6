# Preemption, as the protocol's page "Preemption" allows it, where it meets an aim that the
# reservation would miss. Without this it is on only where an objective aims at a start. Each stop costs
# two changes to the state service: see docs/results.md before switching it on for guarantees.
#
#     cleatfold --config settings.toml --operator deploy/preempt.hcl
preempt = true
