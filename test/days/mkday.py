"""Writes a day for an installation from a list of troubles.

usage: mkday.py SITE.toml NAME OUT.toml 'faults lines' 'plan lines'
The traffic is that of the site's quiet-1.
"""
import re
import sys

site, name, out, faults, plan = sys.argv[1:6]
text = open(site).read()
quiet = text[text.index('name = "quiet-1"'):]
traffic = quiet[quiet.index("traffic = ["):]
traffic = traffic[: traffic.index("\n]\n") + 3]
seed = sum(ord(c) * 131**i for i, c in enumerate(name)) % 900000000 + 1
head = f"""[[day]]
name = "{name}"
slot = "trouble"
seed = {seed}
one = 1.0
zero = 0.0
goal = {{ floor = 0.0 }}
labels = []
wall = 3.0
light = false
"""
def block(key, lines):
    body = "".join(f"  {{ {l.strip()} }},\n" for l in lines.split(";") if l.strip())
    return f"{key} = [\n{body}]\n"

open(out, "w").write(head + block("plan", plan) + block("faults", faults) + traffic)
