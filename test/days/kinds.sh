#!/usr/bin/env bash
# Plays a day for each kind of trouble, alone and twice, on an installation.
# usage: kinds.sh BENCH SITE.toml SERVICE
# BENCH is the program that plays days. Prints a line for each day; the last
# column tells which rule broke.
set -u
bench=$1 site=$2 service=$3
dir=$(mktemp -d)
here=$(dirname "$0")
day() {
  python3 "$here/mkday.py" "$site" "$1" "$dir/$1.toml" "$2" "${3:-}"
  "$bench" run "$site" "$dir/$1.toml" --no-cpu --why "own day: $1" 2>&1 | grep -E "^$1 " | cut -c1-220
}
rollout="at = 2.0, kind = \"rollout_good\", service = \"$service\", for_s = 24.0"
bad="at = 2.0, kind = \"rollout_bad\", service = \"$service\", for_s = 24.0, share = 0.5"
twice() { day "$1" "at = 5.0, $2; at = 18.0, $2" "$rollout"; }
twice srv-slow "kind = \"srv_slow\", service = \"$service\", share = 0.4, x = 6.0, for_s = 6.0"
twice srv-cut "kind = \"srv_cut\", service = \"$service\", share = 0.4, for_s = 6.0"
twice srv-cut-fronts "kind = \"srv_cut\", service = \"$service\", share = 0.4, for_s = 6.0, how = \"fronts\""
twice srv-cut-some "kind = \"srv_cut\", service = \"$service\", share = 0.4, for_s = 6.0, how = \"some\""
twice srv-cut-reborn "kind = \"srv_cut\", service = \"$service\", share = 0.4, for_s = 6.0, how = \"reborn\""
twice reuse "kind = \"replace_with_reuse\", share = 0.3"
twice reuse-drain "kind = \"replace_with_reuse\", share = 0.3, how = \"drain\""
twice reuse-dark "kind = \"replace_with_reuse\", share = 0.3, how = \"dark\""
twice clock "kind = \"clock_step\", share = 0.5, x = 4000, for_s = 5.0"
twice clock-back "kind = \"clock_step\", share = 0.5, x = 4000, for_s = 5.0, how = \"back\""
twice reset "kind = \"reset_conns\", share = 0.6, x = 0.8, for_s = 4.0"
twice crash-dark "kind = \"srv_crash\", service = \"$service\", share = 0.4, for_s = 5.0, how = \"dark\""
twice crash-gone "kind = \"srv_crash\", service = \"$service\", share = 0.2, how = \"gone\""
for how in errors shed busy hang reset mute slow; do
  twice "grey-$how" "kind = \"srv_grey\", service = \"$service\", share = 0.4, x = 0.6, for_s = 6.0, how = \"$how\""
done
twice garble "kind = \"garble\", share = 0.6, x = 0.1, for_s = 6.0"
for how in extra unframed early rot; do twice "garble-$how" "kind = \"garble\", share = 0.6, x = 0.1, for_s = 6.0, how = \"$how\""; done
twice answer-lost "kind = \"answer_lost\", share = 0.8, x = 0.2, for_s = 6.0, how = \"reset\""
twice freeze "kind = \"node_freeze\", share = 0.4, for_s = 5.0"
twice freeze-renewed "kind = \"node_freeze\", count = 1, for_s = 6.0, how = \"renewed\""
twice slow "kind = \"node_slow\", share = 0.5, x = 8.0, for_s = 6.0"
twice herd "kind = \"herd_kill\", share = 0.8, for_s = 2.0, how = \"power\""
twice after-ack "kind = \"after_ack_kill\", for_s = 3.0, count = 3"
twice node-cut "kind = \"node_cut\", share = 0.4, for_s = 6.0, how = \"all\""
twice core-cut "kind = \"core_cut\", count = 2, for_s = 6.0, how = \"leader race\""
twice lossy "kind = \"lossy\", x = 0.08, for_s = 6.0"
for how in silent busy reset lapse "nodes many revoke" "nodes silent leader meet drain"; do
  twice "down-${how// /-}" "kind = \"platform_down\", for_s = 6.0, share = 0.4, how = \"$how\""
done
twice store-slow "kind = \"platform_slow\", x = 100.0, for_s = 6.0"
twice store-lost "kind = \"platform_lost\", x = 0.6, for_s = 6.0, how = \"late\""
twice compact "kind = \"platform_compact\", x = 6.0, for_s = 8.0, how = \"drain\""
twice hot-tenant "kind = \"hot_tenant\", x = 8.0, for_s = 6.0"
twice burst "kind = \"burst\", x = 2.5, for_s = 5.0"
twice abuse "kind = \"retry_abuse\", share = 0.5, x = 5.0, for_s = 6.0"
twice give-up "kind = \"give_up\", share = 0.5, for_s = 6.0"
for how in errors slow under_load one_class late; do
  day "bad-$how" "at = 9.0, kind = \"burst\", x = 1.5, for_s = 4.0" "${bad}, how = \"$how\""
  day "bad-$how-silent" "at = 3.0, kind = \"platform_down\", for_s = 5.0, how = \"silent\"" "${bad}, how = \"$how\""
done
day hup "" "$rollout; at = 5.0, kind = \"hup\", share = 1.0; at = 15.0, kind = \"hup\", share = 1.0; at = 16.0, kind = \"hup\", share = 1.0"
day storm "" "$rollout; at = 4.0, kind = \"config_storm\", for_s = 8.0, gap_s = 0.1; at = 20.0, kind = \"config_storm\", for_s = 5.0, gap_s = 0.05"
day revoke "" "$rollout; at = 4.0, kind = \"revoke\", count = 4, gap_s = 0.5, how = \"last\""
day roll "" "$rollout; at = 4.0, kind = \"roll_term\", share = 1.0, how = \"busy\", gap_s = 1.0"
day big "" "$rollout; at = 4.0, kind = \"big_config\", count = 1500; at = 12.0, kind = \"config_change\", how = \"timeout\""
day scale "" "$rollout; at = 4.0, kind = \"scale_in\", share = 0.4; at = 12.0, kind = \"scale_out\", share = 0.5; at = 18.0, kind = \"release\", share = 0.8, x = 3"
