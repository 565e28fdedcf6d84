#!/usr/bin/env python3
"""Prints readability metrics for each package: python3 .ci/readability.py [REPOSITORY]

All columns count occurrences in the package's src folder; a lower count is better.

names     declarations whose name contains a word of WITHDRAWN, which docs/GLOSSARY.md replaces by a term of the field
          (functions, types, fields, variants, constants)
functions functions longer than 40 lines, including signature and braces
files     files longer than 400 lines
strings   Result types whose error is a String, a Cow, a &'static str or a boxed error
tests     test attributes (tests belong in the package's tests folder)
undoc     public items without a doc comment (functions, types, traits, constants, inline modules, fields)
"""
import pathlib
import re
import sys

WITHDRAWN = """told held whole turned_away turn_away sent_on further_try beat life mishap ill sick thrown_out kept_apart
news word duty hold holder keeper mates fellows kin piece letter note errand book ledger round ballot settle mend silence
ceiling shed patience soon born most still go_on carry_out take_in hand_on look is_whole spoilt garbled broken gone hail
doubt doubted known own elsewhere usual fading tally rounds kinds heritage heir ticket desk called wish looker asked ask
told_at cold aim worth trouble room place mark stage""".split()
DECLARED = re.compile(
    r"^\s*(?:pub(?:\([a-z]+\))?\s+)?(?:(?:async |const |unsafe )*fn (\w+)|(?:struct|enum|trait|type|mod|const|static) (\w+)"
    r"|(\w+): [^=;]+,$|([A-Z]\w+)(?:\s*[({]|,$))")
FUNCTION = re.compile(r"^(\s*)(?:pub(?:\([a-z]+\))? )?(?:async |const |unsafe )*fn \w+")
TEST = re.compile(r"\s*#\[(tokio::)?test\]|\s*#\[test_case")
STRING_ERROR = re.compile(r"Result<[^;{]*, (?:String|Cow<[^>]*>|&'static str|Box<dyn [^>]*>)>")
PUBLIC = re.compile(r"^\s*pub (?:(?:async |const |unsafe )*fn|struct|enum|trait|type|mod|const|static) \w+|^\s*pub \w+: ")
COLUMNS = ["names", "functions", "files", "strings", "tests", "undoc"]


def words(name: str) -> str:
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower()


def is_withdrawn(name: str) -> bool:
    text = "_" + words(name) + "_"
    return any("_" + word + "_" in text for word in WITHDRAWN)


def function_lines(lines: list, at: int, indent: str) -> int:
    for end in range(at, len(lines)):
        if lines[end].rstrip() == indent + "}":
            return end - at + 1
        if end == at and lines[end].rstrip().endswith((";", "}")):
            return 1
    return 1


def is_documented(lines: list, at: int) -> bool:
    above = at - 1
    while above >= 0 and lines[above].strip().startswith(("#[", "#![")):
        above -= 1
    return above >= 0 and lines[above].strip().startswith(("///", "/**", "#[doc"))


def count(path: pathlib.Path) -> dict:
    lines = path.read_text(encoding="utf-8").split("\n")
    counts = dict.fromkeys(COLUMNS, 0)
    counts["files"] = int(len(lines) - 1 > 400)
    counts["strings"] = len(STRING_ERROR.findall("\n".join(lines)))
    for at, line in enumerate(lines):
        declared = DECLARED.match(line)
        name = next((group for group in declared.groups() if group), None) if declared else None
        counts["names"] += bool(name and is_withdrawn(name))
        counts["tests"] += bool(TEST.match(line))
        function = FUNCTION.match(line)
        counts["functions"] += bool(function and function_lines(lines, at, function.group(1)) > 40)
        is_module = line.strip().startswith("pub mod ") and line.rstrip().endswith(";")
        counts["undoc"] += bool(PUBLIC.match(line) and not is_module and not is_documented(lines, at))
    return counts


def main() -> None:
    root = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else ".")
    print(f"{'package':26}" + "".join(f"{column:>11}" for column in COLUMNS))
    total = dict.fromkeys(COLUMNS, 0)
    for crate in sorted((root / "crates").iterdir()):
        row = dict.fromkeys(COLUMNS, 0)
        for path in sorted((crate / "src").rglob("*.rs")):
            for column, value in count(path).items():
                row[column] += value
                total[column] += value
        print(f"{crate.name:26}" + "".join(f"{row[column]:>11}" for column in COLUMNS))
    print(f"{'all':26}" + "".join(f"{total[column]:>11}" for column in COLUMNS))


main()
