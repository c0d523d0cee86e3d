# judge.sh -- compares the upstreams' journal with what the callers were told.
#
# judge JOURNAL RESULTS prints
#   starts=N double=N partial=N false_not_run=N wrong_answer=N lost=N
# double: tasks that started more than once. partial, wrong_answer: answers that
# were not whole, or not the caller's own. false_not_run: an attempt was told
# "not run" although a task of its submission had started before, or starts later
# without another attempt that could have caused it. lost: submissions whose last
# attempt got no statement at all (no answer, or an unknown outcome).
judge () {
  awk '
    kind == "start" {
      starts++
      if (++seen[$1, $2] == 2) double++
      n = ++count[$1]; time[$1, n] = $3
      next
    }
    {
      for (i = 1; i <= NF; i++) { split($i, kv, "="); v[kv[1]] = kv[2] }
      k = v["key"]; a = ++attempts[k]
      start[k, a] = int(v["start_us"] / 1000); end[k, a] = int(v["end_us"] / 1000)
      outcome[k, a] = v["outcome"]; status[k, a] = v["status"]
      if (v["valid"] == "partial") partial++
      if (v["valid"] == "wrong") wrong++
    }
    END {
      for (k in attempts) {
        best = 0
        for (a = 1; a <= attempts[k]; a++) {
          if (status[k, a] == 200 || outcome[k, a] == "ran" || outcome[k, a] == "not_run") best = 1
          if (outcome[k, a] != "not_run") continue
          other = 0
          for (b = 1; b <= attempts[k]; b++) if (b != a && end[k, b] > start[k, a]) other = 1
          for (s = 1; s <= count[k]; s++)
            if (time[k, s] < start[k, a] - 1 || !other) { false_not_run++; break }
        }
        if (!best) lost++
      }
      printf "starts=%d double=%d partial=%d false_not_run=%d wrong_answer=%d lost=%d\n", starts,
        double, partial, false_not_run, wrong, lost
    }' kind=start "$1" kind=result "$2"
}
