#!/usr/bin/env bash
# Makes two other customers' sites from the one that is given beside the checkout, for the bench: what differs stands here
# and nowhere else. What it makes and the files that it lays beside are ignored by git.
#
#     deploy/sites/make.sh [FOLDER OF THE SITE]
set -euo pipefail
cd "$(dirname "$0")"
given=${1:-../../../given/kit/sites}
site=$given/hospital-desks-east.toml
cp -f "$given"/real.json "$given"/wire.json "$given"/unlock.txt .
chmod u+w real.json wire.json unlock.txt

# All before the classes; then our own; then all from the troubles on.
before() { sed '/^\[\[class\]\]/,$d' "$site"; }
family() { sed -n '/^\[fam\]/,/^\[\[fam.class\]\]/p' "$site" | sed '$d'; }
after() { sed -n '/^\[\[trouble\]\]/,$p' "$site"; }

class() { # name share work aim deadline worth late effect more
    printf '[[class]]\nname = "%s"\nshare = %s\nwork_ms = %s\nattempt_noise = [0.05, 0.15]\naim_ms = %s\n' "$1" "$2" "$3" "$4"
    printf 'deadline_ms = %s\nworth = %s\nlate_worth = %s\neffect = "%s"\naim_stretch = 2\n%b\n' "$5" "$6" "$7" "$8" "${9:-}"
}
kept() { # more
    printf '[[fam.class]]\nsize_sigma = [0.6, 1.2]\nzipf = [0.9, 1.1]\nhits = [0.65, 0.76]\nonce = [0.011, 0.038]\nlocal = [0.06, 0.28]\n%b\n' "${1:-}"
}
passes() { printf '[[fam.class]]\nparts = 1\n\n'; }

# Many classes, short deadlines, one that must never run twice and one that is deduplicated for a short while; another
# location's name, cheaper waste, dearer origin.
{
    before | sed -e 's/^name = "hospital-desks-east"/name = "press-rooms"/' -e 's/zones = \["main"\]/zones = ["basement"]/' \
        -e 's/name = "desk-cache"/name = "print-cache"/' -e 's/name = "std-a"/name = "thin"/' -e 's/name = "std-b"/name = "thick"/' \
        -e 's/^waste = .*/waste = 0.03/' -e 's/^origin = .*/origin = 0.07/' -e 's/^max_attempts = .*/max_attempts = 5/' \
        -e 's/^drain_grace_ms = .*/drain_grace_ms = 600/' -e 's/^max_retry_after_ms = .*/max_retry_after_ms = 600/' \
        -e 's/^connect_timeout_ms = .*/connect_timeout_ms = 300/' -e 's/^idle_s = .*/idle_s = 12/'
    class plates '[2.4, 3.2]' '[180, 260]' 400 3000 2 0.1 safe
    class proofs '[2.2, 3.0]' '[60, 110]' 250 1500 1 0.2 safe
    class stamps '[2.0, 2.8]' '[20, 50]' 150 900 1 0 safe
    class press-start '[0.2, 0.3]' '[10, 30]' 500 2000 4 0 unsafe 'write = true\n'
    class tally '[0.2, 0.3]' '[10, 30]' 400 1800 2 0 keyed 'group = "all"\nwindow_ms = 400\nwrite = true\n'
    family
    kept 'parts = [4.1, 9]\ngap_ms = [250, 600]\n'
    kept 'fresh_s = 6\ngrace_s = 4\nstale_worth = 0.6\n'
    kept 'fresh_s = 20\ngrace_s = 5\nstale_worth = 0.4\n'
    passes
    passes
    after
} >press-rooms.toml

# Few classes, large objects, long deadlines, other costs; links are dear and extra work is.
{
    before | sed -e 's/^name = "hospital-desks-east"/name = "film-vaults"/' -e 's/zones = \["main"\]/zones = ["vault"]/' \
        -e 's/name = "desk-cache"/name = "reel-cache"/' -e 's/name = "std-a"/name = "old-rack"/' -e 's/name = "std-b"/name = "new-rack"/' \
        -e 's/^waste = .*/waste = 0.08/' -e 's/^late_fail = .*/late_fail = 0.06/' -e 's/^max_attempts = .*/max_attempts = 3/' \
        -e 's/^retry_after = .*/retry_after = false/' -e 's/^drain_grace_ms = .*/drain_grace_ms = 2000/'
    class reels '[4.2, 5.8]' '[700, 950]' 900 9000 3 0.1 safe
    class vault-order '[0.2, 0.4]' '[20, 60]' 900 4000 2 0 unsafe 'write = true\n'
    family | sed -e 's/^link_price = .*/link_price = 0.08/'
    kept 'parts = [10, 20]\ngap_ms = [500, 1100]\n'
    passes
    after
} >film-vaults.toml
