//! Valid and invalid files of operators, and updates of the board.

use board::{
    Board,
    config::{self, Config, Part},
    key::{Digest, Grant},
};
use proptest::prelude::*;
use tarragonseam_board as board;

fn part(file: &str, text: &str) -> Part {
    Part {
        file: file.to_string(),
        text: text.to_string(),
    }
}

/// Invalid files, each with a part of the problem that must be reported.
const INVALID_FILES: [(&str, &str); 9] = [
    ("[accounts.a]\nwieght = 1\n", "wieght"),
    ("[accounts.a]\nweight = 0\n", "weight is 0"),
    ("[accounts.'a b']\n", "invalid name"),
    ("[routes.r]\npath = '/r'\nservice = 's'\n", "no service"),
    (
        "[services.s]\n[routes.r]\npath = 'r'\nservice = 's'\n",
        "invalid path",
    ),
    (
        "[services.s]\n[routes.r]\npath = '/v1/x'\nservice = 's'\n",
        "invalid path",
    ),
    (
        "[services.s]\n[routes.a]\npath = '/r'\nservice = 's'\n[routes.b]\npath = '/r'\nservice = 's'\n",
        "another route",
    ),
    ("[models.m]\n[services.m]\n", "a model has this name"),
    (
        "[models.m]\nmax_tokens = 0\n",
        "max_tokens or deadline_ms is 0",
    ),
];

#[test]
fn merge_invalid_file() {
    for (text, problem) in INVALID_FILES {
        let faults = config::merge(&[part("x/tarragonseam.toml", text)]).unwrap_err();
        assert!(
            faults.iter().any(|fault| fault.problem.contains(problem)),
            "{text}: {faults:?}"
        );
        for fault in faults {
            assert_eq!(fault.file, "x/tarragonseam.toml", "{text}");
            assert!(!fault.help.is_empty());
        }
    }
}

#[test]
fn merge_duplicate_name() {
    let parts = [
        part("a.toml", "[accounts.a]\n"),
        part("b.toml", "# First.\n[accounts.a]\n"),
    ];
    let faults = config::merge(&parts).unwrap_err();
    assert_eq!(faults.len(), 1);
    assert_eq!(faults[0].file, "b.toml");
    assert_eq!(faults[0].span, Some(9..21));
    assert!(faults[0].problem.contains("a.toml"));
}

#[test]
fn apply_stale_revision() {
    let mut board = Board::new("vm-1", "a", 1);
    assert!(board.apply(3, Config::default()));
    assert!(!board.apply(2, Config::default()));
    assert!(!board.apply(3, Config::default()));
    assert_eq!(board.revision, 3);
}

#[test]
fn record_key_withdrawn_is_final() {
    let mut board = Board::new("vm-1", "a", 1);
    let digest = Digest::of("secret");
    let grant = |withdrawn| Grant {
        account: "a".to_string(),
        withdrawn,
    };
    board.record_key(digest, grant(true));
    board.record_key(digest, grant(false));
    assert!(board.keys[&digest].withdrawn);
}

#[test]
fn parse_digest_plus_signs() {
    let text = "+f".repeat(32);
    assert!(text.parse::<Digest>().is_err());
}

proptest! {
    #[test]
    fn merge_any_text(text in ".{0,256}") {
        // The test passes if there is a result: any text must be handled
        // without a panic.
        let _ = config::merge(&[part("any.toml", &text)]);
    }

    #[test]
    fn merge_shuffled_tables(text in "(\\[(models|accounts|routes|trainers|services)\\.[a-c]\\]\n([a-z_]{1,8} = [0-9]{1,3}\n){0,2}){0,4}") {
        let _ = config::merge(&[part("any.toml", &text)]);
    }

    #[test]
    fn parse_any_digest(text in "[0-9a-f]{0,70}|.{0,70}") {
        if let Ok(digest) = text.parse::<Digest>() {
            prop_assert_eq!(digest.to_string(), text.to_lowercase());
        }
    }
}
