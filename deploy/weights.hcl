# Large images (a model's weights) that many machines want at once: fetched from their origin by turns, never
# more at a time than it gives, and handed on from machine to machine by workers that know how. Workers that
# know the protocol alone fetch from the origin when their turn comes. Without this block each machine fetches
# for itself, at once. See docs/image-distribution.md.
#
#     cleatfold --config settings.toml --operator deploy/weights.hcl
weights {
  # What the origin gives to the whole region. Leave room for images under min_gb, which are not counted.
  origin_gb_per_s = 10
  # How many machines one machine serves at a time, at most.
  uploads = 2
  # Smaller images are fetched as ever.
  min_gb = 10
  # false: fetches are staged, and all come from the origin.
  hand_on = true
}
