#!/usr/bin/env bash
# Plots out/fleet/fleet.csv, or the given file, as an SVG: tools/plot-fleet.sh [CSV [SVG]].
set -euo pipefail
cd "$(dirname "$0")/.."
csv=${1:-out/fleet/fleet.csv}
svg=${2:-docs/plots/fleet.svg}
awk -F, '
    function px(n) { return 60 + 560 * log(n / 20) / log(1600 / 20) }
    function py(b) { return 340 - 300 * b / 8000 }
    function line(color, column,   i, points) {
        for (i = 1; i <= rows; ++i) points = points sprintf("%.0f,%.0f ", px(size[i]), py(value[i, column]))
        printf "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" points=\"%s\"/>\n", color, points
    }
    NR > 1 { ++rows; size[rows] = $1; value[rows, 2] = $2; value[rows, 3] = $3 }
    END {
        print "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"660\" height=\"390\" font-family=\"sans-serif\" font-size=\"12\">"
        print "<rect width=\"660\" height=\"390\" fill=\"white\"/>"
        print "<text x=\"60\" y=\"20\">Control bytes a second of a process (sent and received) against the number of processes</text>"
        for (b = 0; b <= 8000; b += 2000)
            printf "<line x1=\"60\" x2=\"620\" y1=\"%.0f\" y2=\"%.0f\" stroke=\"#ccc\"/><text x=\"10\" y=\"%.0f\">%d</text>\n", py(b), py(b), py(b) + 4, b
        printf "<line x1=\"60\" x2=\"620\" y1=\"%.0f\" y2=\"%.0f\" stroke=\"red\"/><text x=\"420\" y=\"%.0f\" fill=\"red\">bound of a node: 8 KB/s</text>\n", py(8000), py(8000), py(8000) + 16
        split("28 56 112 224 400 1600", ticks, " ")
        for (i = 1; i <= 6; ++i) printf "<text x=\"%.0f\" y=\"360\">%d</text>\n", px(ticks[i]) - 8, ticks[i]
        line("steelblue", 2)
        line("darkorange", 3)
        print "<text x=\"450\" y=\"300\" fill=\"steelblue\">mean</text><text x=\"450\" y=\"200\" fill=\"darkorange\">busiest process</text>"
        print "</svg>"
    }' "$csv" >"$svg"
