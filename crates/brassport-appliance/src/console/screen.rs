//! What the console shows and what keys mean. No I/O: keys and answers in, a picture and wishes out.

use crate::command::{lifecycle, time};
use crate::protocol::{Event, NodeRow, Status};
use brassport_state::model::Action;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Cell, Clear, Paragraph, Row, Table, TableState};
use ratatui::Frame;

/// The least size at which everything has its place.
pub const LEAST: (u16, u16) = (80, 24);
/// From this width on there are two columns.
const WIDE: u16 = 140;
/// Most characters of what is typed into a prompt.
const TYPED: usize = 200;

/// A key, as far as the console knows keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    Char(char),
    Up,
    Down,
    Next,
    Previous,
    Enter,
    Escape,
    Backspace,
}

/// What the operator wants of the program.
#[derive(Debug, Clone, PartialEq)]
pub enum Wish {
    Leave,
    Change { action: Action, seen: Option<u64> },
    Stop { now: bool },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Panel {
    Fleet,
    Studios,
    Requests,
    Events,
}

const PANELS: [Panel; 4] = [Panel::Fleet, Panel::Studios, Panel::Requests, Panel::Events];

#[derive(Debug, Clone, PartialEq)]
enum Mode {
    Look,
    Help,
    Confirm { question: String, wish: Wish },
    Prompt { what: Prompt, typed: String },
}

#[derive(Debug, Clone, PartialEq)]
enum Prompt {
    Add,
    Plan { studio: String },
}

/// The whole console.
#[derive(Debug)]
pub struct Screen {
    status: Option<Status>,
    panel: Panel,
    /// The row of each panel that is chosen.
    chosen: [usize; 4],
    mode: Mode,
    /// What became of the last wish, and whether it failed.
    said: Option<(String, bool)>,
    lost: Option<String>,
    colour: bool,
}

impl Screen {
    pub fn new(colour: bool) -> Screen {
        let (panel, mode) = (Panel::Fleet, Mode::Look);
        Screen { status: None, panel, chosen: [0; 4], mode, said: None, lost: None, colour }
    }

    /// Takes a new picture of the program.
    pub fn take(&mut self, status: Status) {
        self.status = Some(status);
        self.lost = None;
        for (at, panel) in PANELS.into_iter().enumerate() {
            self.chosen[at] = self.chosen[at].min(self.rows(panel).saturating_sub(1));
        }
    }

    /// The program cannot be asked; what is shown is old.
    pub fn lose(&mut self, problem: String) {
        self.lost = Some(problem);
    }

    pub fn say(&mut self, text: String, failed: bool) {
        self.said = Some((text, failed));
    }

    fn rows(&self, panel: Panel) -> usize {
        let Some(status) = &self.status else { return 0 };
        match panel {
            Panel::Fleet => status.nodes.len(),
            Panel::Studios => status.studios.len(),
            Panel::Requests => status.requests.len(),
            Panel::Events => status.events.len(),
        }
    }

    fn node(&self) -> Option<&NodeRow> {
        self.status.as_ref()?.nodes.get(self.chosen[0])
    }

    /// What a key leads to.
    pub fn key(&mut self, key: Key) -> Option<Wish> {
        match std::mem::replace(&mut self.mode, Mode::Look) {
            // Any key leaves the help.
            Mode::Help => None,
            Mode::Confirm { question, wish } => match key {
                Key::Char('y' | 'Y') => {
                    self.said = None;
                    Some(wish)
                }
                Key::Char('n' | 'N') | Key::Escape => {
                    self.say("nothing was changed".into(), false);
                    None
                }
                // Guards against a key that was meant for something else: it confirms nothing.
                _ => {
                    self.mode = Mode::Confirm { question, wish };
                    None
                }
            },
            Mode::Prompt { what, mut typed } => {
                match key {
                    Key::Escape => return None,
                    Key::Enter => {
                        self.answered(&what, &typed);
                        return None;
                    }
                    Key::Backspace => drop(typed.pop()),
                    Key::Char(letter) if !letter.is_control() && typed.chars().count() < TYPED => {
                        typed.push(letter)
                    }
                    _ => {}
                }
                self.mode = Mode::Prompt { what, typed };
                None
            }
            Mode::Look => self.look(key),
        }
    }

    fn look(&mut self, key: Key) -> Option<Wish> {
        let at = PANELS.iter().position(|panel| *panel == self.panel).unwrap_or_default();
        match key {
            Key::Char('q') => return Some(Wish::Leave),
            Key::Char('?' | 'h') => self.mode = Mode::Help,
            Key::Next => self.panel = PANELS[(at + 1) % PANELS.len()],
            Key::Previous => self.panel = PANELS[(at + PANELS.len() - 1) % PANELS.len()],
            Key::Up | Key::Char('k') => self.chosen[at] = self.chosen[at].saturating_sub(1),
            Key::Down | Key::Char('j') => {
                self.chosen[at] = (self.chosen[at] + 1).min(self.rows(self.panel).saturating_sub(1));
            }
            Key::Char('a') => self.mode = Mode::Prompt { what: Prompt::Add, typed: String::new() },
            Key::Char('s') => {
                let ending = self.status.as_ref().is_some_and(|status| status.ending);
                let question = if ending {
                    "It is ending. Fail what is still in hand, and end now?"
                } else {
                    "Stop the appliance? What is in hand gets its answer first."
                };
                self.mode = Mode::Confirm { question: question.into(), wish: Wish::Stop { now: ending } };
            }
            Key::Char(letter @ ('d' | 'u' | 'x')) if self.panel == Panel::Fleet => {
                let node = self.node()?;
                let (name, seen) = (node.name.clone(), Some(node.revision));
                let (question, action) = match letter {
                    'd' => (format!("Drain {name}? Nothing new is sent to it."), Action::DrainNode { name }),
                    'u' => (format!("Let {name} take requests again?"), Action::ResumeNode { name }),
                    _ => (format!("Remove {name} from the list?"), Action::RemoveNode { name }),
                };
                self.mode = Mode::Confirm { question, wish: Wish::Change { action, seen } };
            }
            Key::Char('p') if self.panel == Panel::Studios => {
                let studio = self.status.as_ref()?.studios.get(self.chosen[1])?.studio.clone();
                self.mode = Mode::Prompt { what: Prompt::Plan { studio }, typed: String::new() };
            }
            _ => {}
        }
        None
    }

    /// What was typed into a prompt, to be confirmed.
    fn answered(&mut self, what: &Prompt, typed: &str) {
        let mut words = typed.split_whitespace();
        match what {
            Prompt::Add => {
                let (name, endpoint) = (words.next(), words.next());
                let warm = words.next();
                let endpoint = endpoint.and_then(|endpoint| endpoint.parse().ok());
                let (Some(name), Some(endpoint), None | Some("warm"), None) =
                    (name, endpoint, warm, words.next())
                else {
                    return self
                        .say("a node is NAME ADDRESS:PORT, and `warm` if it has been running".into(), true);
                };
                let (name, warm) = (name.to_string(), warm.is_some());
                let question = format!("Add {name} at {endpoint}{}?", if warm { ", warm" } else { "" });
                let (zone, group, size) = (String::new(), 0, 1.0);
                let action = Action::AddNode { name, endpoint, zone, group, size, warm };
                self.mode = Mode::Confirm { question, wish: Wish::Change { action, seen: None } };
            }
            Prompt::Plan { studio } => {
                let plan = words.next().map(String::from);
                let Ok(number) = u64::from_str_radix(studio, 16) else { return };
                let question = match &plan {
                    Some(plan) => format!("Give studio {studio} the plan {plan}?"),
                    None => format!("Take the own plan of studio {studio} away?"),
                };
                let action = Action::SetPlan { studio: number, plan };
                self.mode = Mode::Confirm { question, wish: Wish::Change { action, seen: None } };
            }
        }
    }

    /// A style that says by its colour what a word beside it says too. Blue and yellow are told apart by almost
    /// everyone; red and green are not used.
    fn colour(&self, colour: Color) -> Style {
        if self.colour {
            Style::new().fg(colour)
        } else {
            Style::new()
        }
    }

    fn good(&self) -> Style {
        self.colour(Color::LightBlue)
    }

    fn bad(&self) -> Style {
        self.colour(Color::Yellow).add_modifier(Modifier::BOLD)
    }

    pub fn draw(&self, frame: &mut Frame) {
        let area = frame.area();
        if area.width < LEAST.0 || area.height < LEAST.1 {
            let text = format!("{} columns and {} lines at least; q leaves", LEAST.0, LEAST.1);
            frame.render_widget(Paragraph::new(text), area);
            return;
        }
        let sources = self.sources();
        let [title, counts, book, body, foot] = Layout::vertical([
            Constraint::Length(1),
            Constraint::Length(1),
            Constraint::Length(sources.len() as u16),
            Constraint::Min(0),
            Constraint::Length(1),
        ])
        .areas(area);
        frame.render_widget(Paragraph::new(self.title()), title);
        frame.render_widget(Paragraph::new(self.counts()), counts);
        frame.render_widget(Paragraph::new(sources), book);
        let [fleet, studios, requests, events] = if area.width >= WIDE {
            let [left, right] =
                Layout::horizontal([Constraint::Percentage(55), Constraint::Percentage(45)]).areas(body);
            let [fleet, requests] =
                Layout::vertical([Constraint::Percentage(60), Constraint::Percentage(40)]).areas(left);
            let [studios, events] =
                Layout::vertical([Constraint::Percentage(60), Constraint::Percentage(40)]).areas(right);
            [fleet, studios, requests, events]
        } else {
            let [fleet, studios, rest] = Layout::vertical([
                Constraint::Percentage(36),
                Constraint::Percentage(34),
                Constraint::Percentage(30),
            ])
            .areas(body);
            let [requests, events] = Layout::horizontal([Constraint::Percentage(50); 2]).areas(rest);
            [fleet, studios, requests, events]
        };
        self.draw_fleet(frame, fleet);
        self.draw_studios(frame, studios);
        self.draw_requests(frame, requests);
        self.draw_events(frame, events);
        frame.render_widget(Paragraph::new(self.foot()), foot);
        match &self.mode {
            Mode::Look => {}
            Mode::Help => boxed(frame, " Help, any key closes ", HELP.lines().map(Line::from).collect()),
            Mode::Confirm { question, .. } => {
                boxed(
                    frame,
                    " Sure? ",
                    vec![Line::from(question.clone()), Line::from(""), Line::from("y yes   n no")],
                );
            }
            Mode::Prompt { what, typed } => {
                let (title, hint) = match what {
                    Prompt::Add => (" Add a node ", "NAME ADDRESS:PORT [warm]".to_string()),
                    Prompt::Plan { .. } => {
                        (" Plan of the studio ", "its name; nothing: no plan of its own".to_string())
                    }
                };
                let typed = Line::from(format!("> {typed}_"));
                boxed(
                    frame,
                    title,
                    vec![Line::from(hint), typed, Line::from("Enter goes on   Esc leaves it")],
                );
            }
        }
    }

    fn title(&self) -> Line<'_> {
        let Some(status) = &self.status else {
            let text = self.lost.clone().unwrap_or_else(|| "asking the appliance".into());
            return Line::from(vec![Span::from("brassport  "), Span::styled(text, self.bad())]);
        };
        let up = status.uptime_ms / 1000;
        let mut spans = vec![
            Span::styled("brassport ", Style::new().add_modifier(Modifier::BOLD)),
            Span::from(format!(
                "{}  up {}:{:02}:{:02}  in flight {} of {:.0}  room {:.0}%  revision {}  ",
                status.listen,
                up / 3600,
                up / 60 % 60,
                up % 60,
                status.in_flight,
                status.limit,
                100.0 * status.room,
                status.revision
            )),
        ];
        if self.lost.is_some() {
            spans.push(Span::styled("LOST ", self.bad()));
        } else if status.ending {
            spans.push(Span::styled("ENDING ", self.bad()));
        }
        if status.read_only.is_some() {
            spans.push(Span::styled("NO CHANGES ", self.bad()));
        }
        Line::from(spans)
    }

    fn counts(&self) -> Line<'_> {
        let Some(status) = &self.status else { return Line::default() };
        let mut spans = Vec::new();
        // What needs somebody stands first: a narrow terminal cuts the end.
        if status.unfinished > 0 {
            spans.push(Span::styled(format!("{} may have run  ", status.unfinished), self.bad()));
        }
        if status.unrecorded > 0 {
            spans.push(Span::styled(format!("{} unrecorded  ", status.unrecorded), self.bad()));
        }
        for (class, counts) in &status.classes {
            spans.push(Span::from(format!("{class} ")));
            spans.push(Span::styled(format!("{} served", counts.served), self.good()));
            spans.push(Span::from(format!(" {} refused {} failed  ", counts.refused, counts.failed)));
        }
        Line::from(spans)
    }

    /// The sources of nodes, their ages, and what they disagree on: two lines, where there is more than the stored list.
    fn sources(&self) -> Vec<Line<'_>> {
        let Some(status) = self.status.as_ref().filter(|status| !status.sources.is_empty()) else {
            return Vec::new();
        };
        let mut spans = vec![Span::from("sources  ")];
        for source in &status.sources {
            let heard = source.heard_ms.map_or("never heard".into(), |ms| format!("heard {}", span(ms)));
            let style = if source.told { Style::new() } else { self.bad() };
            let whole = if source.told { "" } else { ", not whole yet" };
            spans.push(Span::styled(
                format!("{}: {} nodes, {heard}{whole}   ", source.name, source.nodes),
                style,
            ));
        }
        let (count, names) = &status.disputed;
        let disputed = match count {
            0 => Line::from("disagree on  nothing"),
            _ => Line::from(Span::styled(format!("disagree on  {count}: {}", names.join(", ")), self.bad())),
        };
        vec![Line::from(spans), disputed]
    }

    fn foot(&self) -> Line<'_> {
        if let Some(problem) = &self.lost {
            return Line::styled(format!("{problem}; trying again"), self.bad());
        }
        match &self.said {
            Some((text, true)) => Line::styled(text.clone(), self.bad()),
            Some((text, false)) => Line::styled(text.clone(), self.good()),
            None => {
                Line::from("? help  Tab panel  a add  d drain  u resume  x remove  p plan  s stop  q leave")
            }
        }
    }

    fn block(&self, panel: Panel, name: &str) -> Block<'_> {
        let rows = self.rows(panel);
        if panel == self.panel {
            let title = format!(" > {name} ({rows}) ");
            Block::bordered().title(Span::styled(title, Style::new().add_modifier(Modifier::BOLD)))
        } else {
            Block::bordered().title(format!(" {name} ({rows}) "))
        }
    }

    fn table(
        &self,
        frame: &mut Frame,
        area: Rect,
        (panel, name): (Panel, &str),
        columns: &[(&'static str, Constraint)],
        rows: Vec<Row>,
    ) {
        let bold = Style::new().add_modifier(Modifier::BOLD);
        let table = Table::new(rows, columns.iter().map(|(_, width)| *width))
            .header(Row::new(columns.iter().map(|(name, _)| *name)).style(bold))
            .row_highlight_style(Style::new().add_modifier(Modifier::REVERSED))
            .block(self.block(panel, name));
        let at = PANELS.iter().position(|other| *other == panel).unwrap_or_default();
        let mut state = TableState::default().with_selected((panel == self.panel).then_some(self.chosen[at]));
        frame.render_stateful_widget(table, area, &mut state);
    }

    fn draw_fleet(&self, frame: &mut Frame, area: Rect) {
        let columns = [
            ("node", Constraint::Fill(1)),
            ("state", Constraint::Length(8)),
            ("warm", Constraint::Length(5)),
            ("in flight", Constraint::Length(9)),
            ("served", Constraint::Length(7)),
            ("trouble", Constraint::Length(7)),
            ("answers", Constraint::Length(8)),
            ("last answer", Constraint::Length(17)),
        ];
        let row = |node: &NodeRow| {
            let ready = node.lifecycle == brassport_state::model::Lifecycle::Ready;
            let last = node.last.as_ref().map_or("-".into(), |(how, ago)| format!("{how} {}", span(*ago)));
            Row::new(vec![
                Cell::from(node.name.clone()),
                Cell::from(lifecycle(node.lifecycle)).style(if ready { self.good() } else { self.bad() }),
                Cell::from(format!("{:.0}%", 100.0 * node.warmth)),
                Cell::from(node.in_flight.to_string()),
                Cell::from(node.served.to_string()),
                Cell::from(node.troubled.to_string()).style(if node.troubled > 0 {
                    self.bad()
                } else {
                    Style::new()
                }),
                Cell::from(node.answer_ms.map_or("-".into(), |ms| format!("{ms:.0} ms"))),
                Cell::from(last),
            ])
        };
        let nodes = self.status.iter().flat_map(|status| &status.nodes).map(row).collect();
        self.table(frame, area, (Panel::Fleet, "Fleet"), &columns, nodes);
    }

    fn draw_studios(&self, frame: &mut Frame, area: Rect) {
        let columns = [
            ("studio", Constraint::Length(16)),
            ("plan", Constraint::Fill(1)),
            ("use", Constraint::Length(5)),
            ("served", Constraint::Length(7)),
            ("refused", Constraint::Length(7)),
            ("failed", Constraint::Length(6)),
            ("refused last", Constraint::Length(20)),
        ];
        let row = |studio: &crate::protocol::StudioRow| {
            let over = studio.used.is_some_and(|used| used > 1.0);
            let why =
                studio.last_refusal.as_ref().map_or("-".into(), |(why, ago)| format!("{why} {}", span(*ago)));
            Row::new(vec![
                Cell::from(studio.studio.clone()),
                Cell::from(studio.plan.clone()),
                Cell::from(studio.used.map_or("-".into(), |used| format!("{:.0}%", 100.0 * used)))
                    .style(if over { self.bad() } else { Style::new() }),
                Cell::from(studio.counts.served.to_string()),
                Cell::from(studio.counts.refused.to_string()),
                Cell::from(studio.counts.failed.to_string()),
                Cell::from(why),
            ])
        };
        let studios = self.status.iter().flat_map(|status| &status.studios).map(row).collect();
        self.table(frame, area, (Panel::Studios, "Studios"), &columns, studios);
    }

    fn draw_requests(&self, frame: &mut Frame, area: Rect) {
        let columns = [
            ("request", Constraint::Fill(2)),
            ("class", Constraint::Fill(1)),
            ("node", Constraint::Fill(1)),
            ("age", Constraint::Length(6)),
        ];
        let row = |request: &crate::protocol::RequestRow| {
            Row::new(vec![
                request.name.clone(),
                request.class.clone(),
                request.node.clone().unwrap_or_else(|| "-".into()),
                span(request.age_ms),
            ])
        };
        let requests = self.status.iter().flat_map(|status| &status.requests).map(row).collect();
        self.table(frame, area, (Panel::Requests, "Requests now"), &columns, requests);
    }

    fn draw_events(&self, frame: &mut Frame, area: Rect) {
        // The latest first: it is seen without a key.
        let row = |event: &Event| Row::new(vec![time(event.at_ms)[11..19].to_string(), event.text.clone()]);
        let events = self.status.iter().flat_map(|status| status.events.iter().rev()).map(row).collect();
        let columns = [("UTC", Constraint::Length(8)), ("", Constraint::Fill(1))];
        self.table(frame, area, (Panel::Events, "Events"), &columns, events);
    }
}

const HELP: &str = "\
Tab, Shift-Tab   the next panel, the one before
Up, Down, j, k   choose a row
a                add a node
d  u  x          Fleet: drain, resume, remove the chosen node
p                Studios: the chosen studio's plan
s                stop the appliance; once more: end at once
q                leave; the appliance goes on
State is told by words as well as by colour; NO_COLOR turns colours off.";

/// A span of time, short.
fn span(ms: u64) -> String {
    match ms {
        0..=9_999 => format!("{:.1}s", ms as f64 / 1000.0),
        10_000..=599_999 => format!("{}s", ms / 1000),
        600_000..=35_999_999 => format!("{}m", ms / 60_000),
        _ => format!("{}h", ms / 3_600_000),
    }
}

/// A box over the middle.
fn boxed(frame: &mut Frame, title: &str, lines: Vec<Line>) {
    let area = frame.area();
    let width = lines.iter().map(Line::width).max().unwrap_or_default() as u16 + 4;
    let (width, height) = (width.clamp(30, area.width), (lines.len() as u16 + 2).min(area.height));
    let at = Rect::new((area.width - width) / 2, (area.height - height) / 2, width, height);
    frame.render_widget(Clear, at);
    let block = Block::bordered().title(title.to_string()).style(Style::new().add_modifier(Modifier::BOLD));
    frame.render_widget(Paragraph::new(lines).block(block), at);
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::{Counts, RequestRow, StudioRow};
    use brassport_state::model::Lifecycle;
    use ratatui::backend::TestBackend;
    use ratatui::Terminal;

    fn status() -> Status {
        let counts = |served, refused, failed| Counts { served, refused, failed, left: 0 };
        let node = |name: &str, lifecycle, warmth, in_flight, last: (&str, u64)| NodeRow {
            name: name.into(),
            endpoint: "127.0.0.1:9001".into(),
            lifecycle,
            revision: 4,
            warmth,
            in_flight,
            served: 1234,
            troubled: u64::from(name == "slow"),
            turned_away: 0,
            answer_ms: Some(23.4),
            last: Some((last.0.into(), last.1)),
        };
        Status {
            version: "0.2.0".into(),
            pid: 4242,
            listen: "127.0.0.1:8080".into(),
            uptime_ms: 3_723_000,
            ending: false,
            in_flight: 3,
            limit: 12.0,
            room: 1.0,
            client_connections: 5,
            revision: 7,
            read_only: None,
            unfinished: 1,
            unrecorded: 0,
            last_known: 0,
            sources: Vec::new(),
            disputed: (0, Vec::new()),
            classes: [("frame".into(), counts(3000, 120, 2)), ("job-submit".into(), counts(700, 0, 0))]
                .into(),
            nodes: vec![
                node("fast", Lifecycle::Ready, 1.0, 2, ("answered", 40)),
                node("middling", Lifecycle::Ready, 0.4, 1, ("answered", 1200)),
                node("slow", Lifecycle::Draining, 1.0, 0, ("timed out", 75_000)),
            ],
            studios: vec![
                StudioRow {
                    studio: "0000000000000011".into(),
                    plan: "standard".into(),
                    used: Some(0.31),
                    counts: counts(400, 0, 0),
                    last_refusal: None,
                },
                StudioRow {
                    studio: "0000000000000022".into(),
                    plan: "standard".into(),
                    used: Some(1.07),
                    counts: counts(900, 120, 2),
                    last_refusal: Some(("at its quota".into(), 300)),
                },
            ],
            requests: vec![RequestRow {
                name: "try-141733920770".into(),
                class: "job-submit".into(),
                studio: "0000000000000022".into(),
                node: Some("fast".into()),
                attempts: 1,
                age_ms: 12,
            }],
            events: vec![
                Event {
                    number: 1,
                    at_ms: 1_796_119_445_000,
                    text: "node slow added at 127.0.0.1:9001".into(),
                },
                Event {
                    number: 2,
                    at_ms: 1_796_119_505_000,
                    text: "node slow drains (revision 7, asha)".into(),
                },
            ],
        }
    }

    fn picture(screen: &Screen, width: u16, height: u16) -> String {
        let mut terminal = Terminal::new(TestBackend::new(width, height)).expect("a terminal in memory");
        terminal.draw(|frame| screen.draw(frame)).expect("drawn");
        let buffer = terminal.backend().buffer();
        let row = |y| (0..width).map(|x| buffer[(x, y)].symbol().to_string()).collect::<String>();
        (0..height).map(|y| row(y).trim_end().to_string() + "\n").collect()
    }

    fn looking() -> Screen {
        let mut screen = Screen::new(true);
        screen.take(status());
        screen
    }

    /// Compares with a picture that is kept; `BLESS=1` writes it anew.
    fn golden(name: &str, shown: &str) {
        let path = format!("{}/tests/golden/{name}.txt", env!("CARGO_MANIFEST_DIR"));
        if std::env::var_os("BLESS").is_some() {
            std::fs::write(&path, shown).expect("written");
        }
        let kept = std::fs::read_to_string(&path).unwrap_or_default();
        assert!(shown == kept, "{name} is shown as\n{shown}\nand kept as\n{kept}");
    }

    #[test]
    fn the_console_at_its_least_size_and_at_a_large_one() {
        golden("console-80x24", &picture(&looking(), 80, 24));
        golden("console-200x50", &picture(&looking(), 200, 50));
    }

    #[test]
    fn sources_show_their_ages_and_what_they_disagree_on() {
        let mut status = status();
        let source = |name: &str, told, heard_ms| brassport_membership::book::SourceNow {
            name: name.into(),
            told,
            heard_ms,
            nodes: 3,
        };
        status.sources = vec![source("dns", true, Some(1500)), source("nomad", false, None)];
        status.disputed = (1, vec!["slow".into()]);
        let mut screen = Screen::new(false);
        screen.take(status);
        let shown = picture(&screen, 140, 30);
        assert!(shown.contains("dns: 3 nodes, heard 1.5s"), "{shown}");
        assert!(shown.contains("nomad: 3 nodes, never heard, not whole yet"), "{shown}");
        assert!(shown.contains("disagree on  1: slow"), "{shown}");
    }

    #[test]
    fn every_size_is_drawn() {
        let mut screen = looking();
        for mode in [None, Some(Key::Char('?')), Some(Key::Char('a')), Some(Key::Char('d'))] {
            mode.map(|key| screen.key(key));
            for (width, height) in [(1, 1), (79, 24), (80, 23), (80, 24), (139, 24), (140, 24), (400, 100)] {
                picture(&screen, width, height);
            }
            screen.key(Key::Escape);
        }
        assert!(picture(&screen, 60, 20).contains("80 columns"));
    }

    #[test]
    fn a_change_is_made_only_when_it_is_confirmed_and_says_what_was_seen() {
        let mut screen = looking();
        screen.key(Key::Down);
        assert_eq!(screen.key(Key::Char('d')), None);
        assert!(picture(&screen, 80, 24).contains("Drain middling?"));
        assert_eq!(screen.key(Key::Enter), None, "Enter confirms nothing");
        assert_eq!(screen.key(Key::Char('n')), None);
        assert_eq!(screen.key(Key::Char('y')), None, "there is nothing to confirm any more");
        screen.key(Key::Char('d'));
        let wish = screen.key(Key::Char('y'));
        let action = Action::DrainNode { name: "middling".into() };
        assert_eq!(wish, Some(Wish::Change { action, seen: Some(4) }));
    }

    #[test]
    fn the_list_may_change_under_a_question() {
        let mut screen = looking();
        screen.key(Key::Char('x'));
        let mut next = status();
        next.nodes.remove(0);
        screen.take(next);
        let action = Action::RemoveNode { name: "fast".into() };
        assert_eq!(screen.key(Key::Char('y')), Some(Wish::Change { action, seen: Some(4) }));
        let mut empty = status();
        empty.nodes.clear();
        screen.take(empty);
        assert_eq!(screen.key(Key::Char('d')), None, "there is no node to drain");
    }

    #[test]
    fn a_node_is_added_from_what_is_typed() {
        let mut screen = looking();
        let typed = |screen: &mut Screen, text: &str| {
            screen.key(Key::Char('a'));
            text.chars().for_each(|letter| drop(screen.key(Key::Char(letter))));
            screen.key(Key::Enter);
        };
        typed(&mut screen, "loft 127.0.0.1");
        assert!(picture(&screen, 80, 24).contains("a node is NAME ADDRESS:PORT"));
        typed(&mut screen, "loft 127.0.0.1:9002 warm");
        let Some(Wish::Change { action: Action::AddNode { name, warm, .. }, .. }) =
            screen.key(Key::Char('y'))
        else {
            panic!("no node is added")
        };
        assert_eq!((name.as_str(), warm), ("loft", true));
    }

    #[test]
    fn stopping_is_asked_for_twice_to_end_at_once() {
        let mut screen = looking();
        screen.key(Key::Char('s'));
        assert_eq!(screen.key(Key::Char('y')), Some(Wish::Stop { now: false }));
        screen.take(Status { ending: true, ..status() });
        screen.key(Key::Char('s'));
        assert_eq!(screen.key(Key::Char('y')), Some(Wish::Stop { now: true }));
    }

    #[test]
    fn without_colour_nothing_is_coloured_and_all_is_said() {
        let mut plain = Screen::new(false);
        plain.take(status());
        let mut terminal = Terminal::new(TestBackend::new(80, 24)).expect("a terminal in memory");
        terminal.draw(|frame| plain.draw(frame)).expect("drawn");
        let cells = &terminal.backend().buffer().content;
        assert!(cells.iter().all(|cell| cell.fg == Color::Reset && cell.bg == Color::Reset));
        assert_eq!(picture(&plain, 80, 24), picture(&looking(), 80, 24));
    }
}
