//! Runs the `lgctl` program and checks its output and its exit code.
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

const FILE: &str = r#"<operator version="1"><places><zone name="a"/><zone name="b"/><firm name="f"/>
<product name="read"/><product name="book"/><agent name="n0" firm="f"/></places>
<releases service="s" time-zone="Asia/Tokyo"><service name="s"/><service name="d" silent-after="10s"/>
<ladder service="s" from="2" settles="1h"><ring name="one" stage="0" products="read"><pairs zones="a"/></ring>
<ring name="two" stage="1" after="2h"><pairs/></ring></ladder>
<needs service="s" from="2" of="d" at-least="5"/>
<freeze name="nights" service="s"><weekly from="Tue 20:00" to="Wed 06:00"/></freeze></releases></operator>"#;

/// 2026-12-01T01:00Z, a Tuesday, 10:00 in Tokyo.
const STATE: &str = r#"{"form":1,"agent":"n0","firm":"f","at_ms":1796086800000,"zones":["a","b"],"firms":["f"],
"services":[{"name":"s","news":{"build":2,"stage":1,"course":"on-trial","since_ms":1796086800000},
"heard_ms":1796086800000,"odd":null,"released":[],"climbs":[{"build":2,"reached_ms":[[0,1796083200000],[1,1796086800000]],
"opened_ms":[1796083200000]}]},{"name":"d","news":{"build":5,"stage":0,"course":"released","since_ms":1796080000000},
"heard_ms":1796086799000,"odd":null,"released":[5],"climbs":[]}],
"builds":[{"build":1,"had":["1","1"]},{"build":2,"had":["1","0"]}],"events":[]}"#;

/// A temporary folder with an operator file and a state, in which `lgctl` runs.
struct Workspace(tempfile::TempDir);

impl Workspace {
    fn new() -> Workspace {
        let workspace = Workspace(tempfile::tempdir().expect("a temporary folder"));
        workspace.write("file.xml", FILE);
        workspace.write("state.json", STATE);
        workspace
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    fn run(&self, line: &str) -> (i32, String, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_lgctl"))
            .args(line.split(' '))
            .current_dir(self.0.path())
            .output();
        let Output {
            status,
            stdout,
            stderr,
        } = output.expect("lgctl runs");
        let text = |bytes| String::from_utf8(bytes).expect("UTF-8 output");
        (
            status.code().expect("an exit code"),
            text(stdout),
            text(stderr),
        )
    }
}

const EXPLAIN: &str = "releases explain --file file.xml --state state.json";
const PLAN: &str =
    "releases plan --file file.xml --from 2026-12-01T10:00 --zone-of-reader Asia/Tokyo";

#[rstest]
#[case("check file.xml", 0, "file.xml: fine")]
#[case(
    "check bad.xml file.xml",
    1,
    "bad.xml:1:1: <x>: the root is not <operator>"
)]
#[case(
    "check bad.xml --json",
    1,
    r#""line":1,"what":"the root is not <operator>""#
)]
#[case("check gone.xml", 1, "gone.xml")]
#[case("check", 2, "")]
#[case("nothing", 2, "")]
#[case(
    "{E} --build 2 --zone a --firm f --product read",
    0,
    "no step on: ring \"two\" has not had its time; not before 2026-12-01 02:00:00 UTC"
)]
#[case(
    "{E} --build 2 --zone b --product book",
    1,
    "ring-shut  ring \"two\" is not open yet  2026-12-01 02:00:00 UTC"
)]
#[case(
    "{E} --build 2 --zone a --product book",
    1,
    "product    open there, but not to this product  2026-12-01 02:00:00 UTC"
)]
#[case(
    "{E} --build 2 --at 2026-12-01T02:00Z",
    0,
    "no step on: ring \"two\" has not had its time; not before 2026-12-01 03:00:00 UTC"
)]
#[case(
    "{E} --build 2 --at 2026-12-01T03:00Z",
    0,
    "build 2 may be voted on from stage 1"
)]
#[case(
    "{E} --at 2026-12-01T21:00 --zone-of-reader Asia/Tokyo",
    1,
    "the freeze \"nights\" is in force; not before 2026-12-02 06:00:00 JST"
)]
#[case(
    "{E} --at 2026-12-01T21:00 --zone-of-reader Asia/Tokyo --zone b --product read",
    1,
    "nobody new have it 2026-12-02 06:00:00 JST"
)]
#[case("{E} --build 9", 1, "not-listed")]
#[case("{E} --zone c", 3, "the operator file defines no zone named \"c\"")]
#[case("{E} --at soon", 3, "\"soon\" is not a time; expected a form such as")]
#[case("releases explain --file gone.xml --state state.json", 3, "gone.xml")]
#[case(
    "releases explain --file file.xml --state bad.xml",
    3,
    "bad.xml: expected value"
)]
#[case(
    "{P} --released d:5 --bring s:2",
    0,
    "2026-12-01 13:00:00 JST  *  s 2 is released     after s 2 opens ring two"
)]
#[case(
    "{P} --bring d:5,from=2026-12-01T18:00 --bring s:2",
    0,
    "2026-12-02 07:00:00 JST  *  s 2 is released"
)]
#[case(
    "{P} --bring d:5,from=2026-12-01T18:00 --bring s:2,by=2026-12-01T22:00",
    1,
    "s 2 comes out by its time"
)]
#[case("{P} --bring s:2", 1, "s 2..65535 needs d 5 or later")]
#[case(
    "{P} --state state.json --bring s:2 --json",
    0,
    r#""determines_end":true"#
)]
#[case(
    "{P} --bring x:2",
    3,
    "\"x:2\" is not SERVICE:BUILD with a service of the operator file"
)]
fn commands_print_and_exit(#[case] line: &str, #[case] code: i32, #[case] expected: &str) {
    let workspace = Workspace::new();
    workspace.write("bad.xml", "<x/>");
    let (exit_code, output, log) =
        workspace.run(&line.replace("{E}", EXPLAIN).replace("{P}", PLAN));
    assert_eq!(exit_code, code, "{output}{log}");
    let normalized = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
    assert!(
        normalized(&format!("{output}{log}")).contains(&normalized(expected)),
        "{output}{log}"
    );
}

/// The output of each format stays byte for byte what earlier versions printed.
#[rstest]
#[case("{E} --json", include_str!("fixtures/explain.json"))]
#[case(
    "{E} --at 2026-12-01T21:00 --zone-of-reader Asia/Tokyo",
    include_str!("fixtures/explain.txt")
)]
#[case("{E} --state unknown.json --build 2 --zone a", include_str!("fixtures/unknown.txt"))]
#[case("{P} --state state.json --bring s:2 --json", include_str!("fixtures/plan.json"))]
#[case("{P} --released d:5 --bring s:2", include_str!("fixtures/plan.txt"))]
#[case("{P} --bring s:2 --json", include_str!("fixtures/conflict.json"))]
#[case("{P} --bring s:2", include_str!("fixtures/conflict.txt"))]
#[case("check bad.xml --json", include_str!("fixtures/faults.json"))]
fn output_format_is_unchanged(#[case] line: &str, #[case] expected: &str) {
    let workspace = Workspace::new();
    workspace.write("bad.xml", "<x/>");
    let contradicted = r#""odd":"came-back","released":[5]"#;
    workspace.write(
        "unknown.json",
        &STATE.replace(r#""odd":null,"released":[5]"#, contradicted),
    );
    let explain = if line.contains("unknown.json") {
        "releases explain --file file.xml"
    } else {
        EXPLAIN
    };
    let (_, output, log) = workspace.run(&line.replace("{E}", explain).replace("{P}", PLAN));
    assert_eq!(output, expected, "{log}");
}

#[test]
fn plan_is_drawn_as_svg() {
    let workspace = Workspace::new();
    let line = format!("{PLAN} --bring d:5 --bring s:2 --svg plan.svg");
    assert_eq!(workspace.run(&line).0, 0);
    let svg =
        std::fs::read_to_string(workspace.0.path().join("plan.svg")).expect("the chart is written");
    assert!(
        svg.contains("s 2")
            && svg.contains("d 5")
            && svg.matches("<rect").count() > 2
            && svg.contains("<circle")
    );
    let (code, _, log) = workspace.run(&format!(
        "{PLAN} --bring d:5 --svg gone/plan.svg --log json"
    ));
    assert!(
        code == 3 && log.starts_with('{') && log.contains("gone/plan.svg"),
        "{log}"
    );
}
