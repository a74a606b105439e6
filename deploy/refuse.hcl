# Under overload that lasts, new jobs that would only wait past their use are told to come back at once (429,
# with when), before the state service is asked. Of a team's jobs of one class these are the largest three
# tenths, and only while its jobs would wait twice as long as the most lenient of their aims allows. Without
# this everything is accepted, and the largest wait longest: see docs/admission.md.
#
#     cleatfold --config settings.toml --operator deploy/refuse.hcl
refuse_after = 2.0
