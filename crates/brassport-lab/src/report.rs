//! Tables, charts and the page of a run.

use crate::results::{Facts, Row};
use crate::run::Verdict;
use crate::stats::{self, Mean};
use crate::study::{matches, Cell, Chart, Study};
use anyhow::{anyhow, Result};
use plotters::coord::ranged1d::{DefaultFormatting, KeyPointHint};
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::fmt::Write;

const SIZE: (u32, u32) = (760, 420);
/// Colours that the colour-blind can tell apart (Okabe and Ito).
const COLOURS: [RGBColor; 7] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(0, 0, 0),
];

fn place(study: &Study, measure: &str) -> usize {
    let measures = study.backend.measures();
    measures.iter().position(|(name, _)| *name == measure).expect("checked with the study")
}

fn values(rows: &[Row], cell: usize, measure: usize) -> Vec<f64> {
    rows.iter().filter(|row| row.cell == cell).map(|row| row.values[measure]).collect()
}

/// A figure as tables show it: four digits that count.
fn shown(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = (3 - value.abs().log10().floor() as i32).clamp(0, 6) as usize;
    format!("{value:.digits$}")
}

fn shown_mean(mean: Mean) -> String {
    if mean.count < 2 || mean.low == mean.high {
        return shown(mean.mean);
    }
    format!("{} ({}..{})", shown(mean.mean), shown(mean.low), shown(mean.high))
}

/// An axis along the bottom: the logarithm where levels span more than a factor of 20.
struct Axis {
    low: f64,
    high: f64,
    log: bool,
}

impl Axis {
    fn of(levels: &[f64]) -> Axis {
        let (low, high) = levels
            .iter()
            .fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), &x| (low.min(x), high.max(x)));
        let log = low > 0.0 && high / low > 20.0;
        let (low, high) = if log { (low.log10(), high.log10()) } else { (low, high) };
        let margin = ((high - low) * 0.03).max(1e-3);
        Axis { low: low - margin, high: high + margin, log }
    }

    fn at(&self, x: f64) -> f64 {
        if self.log {
            x.log10()
        } else {
            x
        }
    }
}

/// Ticks at the levels themselves.
struct Levels {
    range: std::ops::Range<f64>,
    ticks: Vec<f64>,
}

impl Ranged for Levels {
    type FormatOption = DefaultFormatting;
    type ValueType = f64;

    fn map(&self, value: &f64, limit: (i32, i32)) -> i32 {
        let part = (value - self.range.start) / (self.range.end - self.range.start);
        limit.0 + (part * f64::from(limit.1 - limit.0)).round() as i32
    }

    fn key_points<Hint: KeyPointHint>(&self, _: Hint) -> Vec<f64> {
        self.ticks.clone()
    }

    fn range(&self) -> std::ops::Range<f64> {
        self.range.clone()
    }
}

/// All charts, with their files' names.
///
/// # Errors
/// The drawing library's.
pub fn charts(study: &Study, rows: &[Row]) -> Result<Vec<(String, String)>> {
    // A quick form may leave out all that a chart is about.
    let cells = study.cells();
    let shown = |chart: &Chart| cells.iter().any(|cell| matches(cell, &chart.only));
    let drawn = study.charts.iter().enumerate().filter(|(_, chart)| shown(chart)).map(|(number, chart)| {
        let name = format!("chart-{}-{}.svg", number + 1, chart.y);
        draw(study, rows, chart).map(|svg| (name, svg))
    });
    drawn.collect()
}

fn draw(study: &Study, rows: &[Row], chart: &Chart) -> Result<String> {
    let cells: Vec<(usize, Cell)> =
        study.cells().into_iter().enumerate().filter(|(_, cell)| matches(cell, &chart.only)).collect();
    let level = |cell: &Cell, key: &str| {
        cell.iter()
            .find(|(factor, _)| factor == key)
            .map(|(_, level)| level.clone())
            .expect("a factor of the study")
    };
    let x = |cell: &Cell| level(cell, &chart.x).number().expect("checked with the study");
    let measure = place(study, &chart.y);
    // Lines by the series' levels, in the study's order; without a series there is one.
    let mut lines: Vec<(String, Vec<(f64, Mean)>)> = Vec::new();
    for (number, cell) in &cells {
        let of = chart.series.as_ref().map_or(String::new(), |key| format!("{key} {}", level(cell, key)));
        let mean = stats::mean(&values(rows, *number, measure));
        if !mean.mean.is_finite() {
            continue;
        }
        match lines.iter_mut().find(|(other, _)| *other == of) {
            Some((_, points)) => points.push((x(cell), mean)),
            None => lines.push((of, vec![(x(cell), mean)])),
        }
    }
    let band = |mean: &Mean| if mean.count > 1 { (mean.low, mean.high) } else { (mean.mean, mean.mean) };
    let points = || lines.iter().flat_map(|(_, points)| points);
    let levels: Vec<f64> = points().map(|(x, _)| *x).collect();
    if levels.is_empty() {
        return Err(anyhow!("the chart {:?} shows no cell", chart.title));
    }
    let axis = Axis::of(&levels);
    let low = points().map(|(_, mean)| band(mean).0).fold(0.0, f64::min);
    let high = points().map(|(_, mean)| band(mean).1).fold(f64::MIN_POSITIVE, f64::max);
    let ticks: BTreeSet<u64> = levels.iter().map(|x| x.to_bits()).collect();
    let across = Levels {
        range: axis.low..axis.high,
        ticks: ticks.into_iter().map(|bits| axis.at(f64::from_bits(bits))).collect(),
    };
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut context = ChartBuilder::on(&root)
            .caption(&chart.title, ("sans-serif", 17))
            .margin(12)
            .x_label_area_size(42)
            .y_label_area_size(64)
            .build_cartesian_2d(across, low..high * 1.06)?;
        let log = axis.log;
        context
            .configure_mesh()
            .x_desc(format!("{}{}", chart.x, if log { " (logarithmic)" } else { "" }))
            .y_desc(&chart.y)
            .x_label_formatter(&|x| {
                // Through a decimal of few digits: the logarithm's way there and back leaves a last digit off.
                let x = if log { 10f64.powf(*x) } else { *x };
                format!("{x:.3e}").parse::<f64>().map_or(String::new(), |x| x.to_string())
            })
            .y_label_formatter(&|y| shown(*y))
            .light_line_style(WHITE)
            .draw()?;
        for (number, (of, points)) in lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            let at = |x: f64| axis.at(x);
            let mut outline: Vec<(f64, f64)> =
                points.iter().map(|(x, mean)| (at(*x), band(mean).0)).collect();
            outline.extend(points.iter().rev().map(|(x, mean)| (at(*x), band(mean).1)));
            context.draw_series([Polygon::new(outline, colour.mix(0.18))])?;
            let series = context.draw_series(LineSeries::new(
                points.iter().map(|(x, mean)| (at(*x), mean.mean)),
                colour.stroke_width(2),
            ))?;
            if !of.is_empty() {
                series
                    .label(of)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            }
            context.draw_series(
                points.iter().map(|(x, mean)| Circle::new((at(*x), mean.mean), 3, colour.filled())),
            )?;
        }
        if chart.series.is_some() {
            context
                .configure_series_labels()
                .background_style(WHITE.mix(0.85))
                .border_style(BLACK.mix(0.3))
                .draw()?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// The summary in Markdown.
pub fn summary(
    study: &Study,
    facts: &Facts,
    rows: &[Row],
    verdict: &Verdict,
    charts: &[(String, String)],
) -> String {
    let mut text =
        format!("# {}{}\n\n{}\n\n", study.name, if study.quick { " (quick)" } else { "" }, study.question);
    let _ = writeln!(
        text,
        "Backend {}, {} seeds from {}, commit {}, {} cores of {}, {} MiB. Means with intervals at 95% (bootstrap-t \
         over seeds).\n",
        study.backend.name(),
        study.seeds.len(),
        study.seeds[0],
        facts.commit,
        facts.cores,
        facts.processor,
        facts.memory_mib
    );
    let fixed: Vec<String> = study.fixed.iter().map(|(key, level)| format!("{key} = {level}")).collect();
    if !fixed.is_empty() {
        let _ = writeln!(text, "Fixed: {}.\n", fixed.join(", "));
    }
    if let Some(caveat) = study.backend.caveat() {
        let _ = writeln!(text, "{caveat}\n");
    }
    let cells = study.cells();
    let keys: Vec<&str> = study.factors.iter().map(|(key, _)| key.as_str()).collect();
    // What is the same in every row says nothing in a table.
    let telling: Vec<usize> = (0..study.backend.measures().len())
        .filter(|&at| rows.iter().any(|row| row.values[at] != rows[0].values[at]))
        .collect();
    let names: Vec<&str> = telling.iter().map(|&at| study.backend.measures()[at].0).collect();
    let _ = writeln!(text, "| {} | {} |", keys.join(" | "), names.join(" | "));
    let _ = writeln!(text, "|{}", " --- |".repeat(keys.len() + names.len()));
    for (number, cell) in cells.iter().enumerate() {
        let levels: Vec<&str> = cell.iter().map(|(_, level)| level.0.as_str()).collect();
        let means: Vec<String> =
            telling.iter().map(|&at| shown_mean(stats::mean(&values(rows, number, at)))).collect();
        let _ = writeln!(text, "| {} | {} |", levels.join(" | "), means.join(" | "));
    }
    text.push('\n');
    for &at in &telling {
        let (name, meaning) = study.backend.measures()[at];
        let _ = writeln!(text, "- `{name}`: {meaning}");
    }
    for (name, _) in charts {
        let _ = writeln!(text, "\n![{name}]({name})");
    }
    text.push_str("\n## Verdict\n\n");
    if verdict.bounds.is_empty() && verdict.broken.is_empty() {
        let _ = writeln!(text, "All {} bounds hold, no rule broken.", study.bounds.len());
    }
    for line in verdict.bounds.iter() {
        let _ = writeln!(text, "- bound not kept: {line}");
    }
    for line in &verdict.broken {
        let _ = writeln!(text, "- rule broken, or row void: {line}");
    }
    text
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A page that needs nothing beside it: the summary's tables as tables, its charts within.
pub fn page(title: &str, summary: &str, charts: &[(String, String)]) -> String {
    let mut body = String::new();
    let mut table = false;
    for line in summary.lines() {
        let row = line.strip_prefix("| ").and_then(|line| line.strip_suffix(" |"));
        if line.starts_with("| ---") {
            continue;
        }
        if let Some(row) = row {
            let tag = if table { "td" } else { "th" };
            if !table {
                body.push_str("<table>");
            }
            table = true;
            let fields: String =
                row.split(" | ").map(|field| format!("<{tag}>{}</{tag}>", escaped(field))).collect();
            let _ = write!(body, "<tr>{fields}</tr>");
            continue;
        }
        if std::mem::take(&mut table) {
            body.push_str("</table>");
        }
        if let Some(name) = line.strip_prefix("![").and_then(|rest| rest.split(']').next()) {
            if let Some((_, svg)) = charts.iter().find(|(chart, _)| chart == name) {
                body.push_str(svg);
            }
        } else if let Some(head) = line.strip_prefix("## ") {
            let _ = write!(body, "<h2>{}</h2>", escaped(head));
        } else if let Some(head) = line.strip_prefix("# ") {
            let _ = write!(body, "<h1>{}</h1>", escaped(head));
        } else if !line.is_empty() {
            let _ = write!(body, "<p>{}</p>", escaped(line));
        }
    }
    if table {
        body.push_str("</table>");
    }
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{}</title><style>body{{font:15px \
         sans-serif;max-width:75rem;margin:2rem auto;padding:0 1rem}}table{{border-collapse:collapse;display:block;\
         overflow-x:auto}}td,th{{border:1px solid #ccc;padding:.2rem .5rem;text-align:right;white-space:nowrap}}\
         </style></head><body>{body}</body></html>\n",
        escaped(title)
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn figures_are_shown_with_the_digits_that_count() {
        assert_eq!(shown(0.0), "0");
        assert_eq!(shown(1234.56), "1235");
        assert_eq!(shown(0.012345), "0.01235");
        assert_eq!(shown(99.99), "99.99");
    }

    #[test]
    fn a_page_has_the_tables_the_charts_and_no_markup_of_a_studys_text() {
        let summary = "# s\n\nIs <b> bold?\n\n| a | b |\n| --- | --- |\n| 1 | 2 |\n\n![c.svg](c.svg)\n";
        let page = page("s", summary, &[("c.svg".into(), "<svg>chart</svg>".into())]);
        assert!(page.contains("<p>Is &lt;b&gt; bold?</p>") && page.contains("<svg>chart</svg>"));
        assert!(page.contains("<th>a</th><th>b</th></tr><tr><td>1</td><td>2</td></tr></table>"), "{page}");
    }
}
