#!/usr/bin/env bash
# Runs the slope measurements several times and prints, for each measure, the
# median per size and how the value grows from the smallest to the largest size.
# The medians of several runs are used because the machine is shared.
#
# Growth is the ratio of the values at the largest and the smallest size; a cost
# per item that is constant has a growth near 1.
set -euo pipefail
dir=${1:-build/release/tests}
runs=${SLOPE_RUNS:-5}

for _ in $(seq "$runs"); do
  "$dir/slopes"
  "$dir/slopes-messages"
  "$dir/slopes-routes"
done | awk -v runs="$runs" '
  function median (key,   n, i, j, t, v) {
    n = split (values[key], v, " ")
    for (i = 2; i <= n; i++)
      for (j = i; j > 1 && v[j - 1] + 0 > v[j] + 0; j--) {
        t = v[j]; v[j] = v[j - 1]; v[j - 1] = t
      }
    return v[int ((n + 1) / 2)]
  }
  {
    measure = $1 " " $2 " " $5
    if (!(measure in sizes)) order[++n_measures] = measure
    if (!((measure, $3) in values)) sizes[measure] = sizes[measure] " " $3
    values[measure, $3] = values[measure, $3] " " $4
  }
  END {
    printf "%-10s %-22s %-9s %-52s %8s\n", "object", "measure", "unit", \
      "size:median of " runs " runs", "growth"
    for (i = 1; i <= n_measures; i++) {
      split (order[i], name, " ")
      n = split (sizes[order[i]], size, " ")
      line = ""
      for (j = 1; j <= n; j++) {
        value[j] = median(order[i] SUBSEP size[j])
        line = line size[j] ":" value[j] " "
      }
      printf "%-10s %-22s %-9s %-52s %8.2f\n", name[1], name[2], name[3], line, \
        (value[1] > 0 ? value[n] / value[1] : 0)
    }
  }'
