"""Tests of reading JSON documents from outside the fleet."""

from __future__ import annotations

import json

import pytest
from result import Err, Ok

from hornbeamyard.process.documents import MAX_DEPTH, read_json
from hornbeamyard.process.validation import check_text

# Bytes that Python's JSON parser takes for half of a surrogate pair.
SURROGATE = b"\xed\xa0\x80"


class TestReadJson:
    """Only documents that can be stored and sent on are read."""

    @pytest.mark.parametrize(
        "data",
        [
            b'{"a": "' + SURROGATE + b'"}',
            b'{"a": "\\ud800"}',
            b'{"\\udfff": 1}',
            b'[{"a": ["\\ud800"]}]',
            '{"a": "\u00e9"}'.encode("latin-1"),
            '{"a": 1}'.encode("utf-16"),
            b'{"a": NaN}',
            b'{"a": -Infinity}',
            b'{"a": 0, "a": 1}',
            b'[{"b": {"a": 1, "\\u0061": 1}}]',
            b'{"a": ' + b"9" * 5000 + b"}",
            b"[" * 100_000,
            b"[" * (MAX_DEPTH + 1) + b"]" * (MAX_DEPTH + 1),
            b"",
            b'{"a":',
        ],
    )
    def test_refuses(self, data: bytes) -> None:
        """Guards against documents that end the task which uses them."""
        assert isinstance(read_json(data), Err)

    @pytest.mark.parametrize(
        ("data", "expected"),
        [
            (b'{"a": "\\ud83d\\ude00"}', {"a": "\U0001f600"}),
            ('{"a": "\u00e9"}'.encode("utf-8-sig"), {"a": "\u00e9"}),
            (b"[1, 2.5, null]", [1, 2.5, None]),
            (b'[{"a": 1, "b": {"a": 2}}, {}]', [{"a": 1, "b": {"a": 2}}, {}]),
        ],
    )
    def test_reads(self, data: bytes, expected: object) -> None:
        """Guards against refusing valid documents."""
        assert read_json(data) == Ok(expected)

    def test_hides_texts(self) -> None:
        """Guards against secrets in the reason of a refusal."""
        for data in [
            json.dumps({"key": "secret-key\ud800"}).encode(),
            b'{"secret-key": 1, "secret-key": 2}',
        ]:
            assert "secret-key" not in read_json(data).unwrap_err()


class TestCheckText:
    """Texts of a routing can be stored and sent in headers."""

    @pytest.mark.parametrize(
        "text", ["", "a\r\nx: y", "a\x00", "\x7f", "\ud800", None, 3]
    )
    def test_refuses(self, text: object) -> None:
        """Guards against texts that break every request that uses them."""
        assert check_text(text) is not None

    def test_accepts(self) -> None:
        """Guards against refusing names in other alphabets."""
        assert check_text("Biblioth\u00e8que \u0410\u043b\u043c\u0430") is None
