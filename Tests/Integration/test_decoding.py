# SPDX-License-Identifier: BSD-3-Clause
# SPDX-FileCopyrightText: 2026 yokepond maintainers
"""The programs decode JSON with Base::decodeJson() only, which bounds the depth of what others send."""

import pathlib
import re

from fleet import TOP, run_tests

# The functions of nlohmann::json that decode, under whatever name the type has, its literals, and its input from a stream.
DECODING = re.compile(r'(?<!IniFile)::\s*(?:parse|sax_parse|accept|from_(?:cbor|msgpack|ubjson|bjdata|bson))\s*\(|"_json\b|nlohmann::literals|json_sax'
                      r'|>>\s*\w*[jJ]son\b')
ALLOWED = pathlib.PurePosixPath("Source/Base/json.cpp")
COMMENT = re.compile(r"//.*$", re.MULTILINE)


def decodings(text):
    """Returns the numbers of the lines of `text` that decode JSON."""
    code = COMMENT.sub("", text)
    return [code.count("\n", 0, match.start()) + 1 for match in DECODING.finditer(code)]


# Guards against code that decodes what others send without a bound of depth, which ends its host by an overflow of the stack.
def test_only_one_file_decodes_json():
    found = []
    files = [path for folder in ("Source", "platform") for path in (TOP / folder).rglob("*") if path.suffix in (".cpp", ".h")]
    assert len(files) > 100, len(files)
    for path in files:
        name = pathlib.PurePosixPath(path.relative_to(TOP).as_posix())
        if name != ALLOWED:
            found += [f"{name}:{line}" for line in decodings(path.read_text(encoding="utf-8"))]
    assert not found, f"use Base::decodeJson() instead of nlohmann's functions in {', '.join(found)}"


def test_the_check_finds_each_way_to_decode():
    for code in ("nlohmann::json::parse(text)", "Json::parse(\n    text, nullptr, false)", "nlohmann::ordered_json::parse(text)",
                 "Json::sax_parse(text, &handler)", "Json::accept(text)", "nlohmann::json::from_cbor(bytes)", "file >> json;",
                 'auto value = R"({})"_json;', "using namespace nlohmann::literals;", "json :: parse (text)"):
        assert decodings("int first;\n" + code) == [2], code
    for code in ("IniFile::parse(text, name)", "// Json::parse(text)", "Base::decodeJson(text)", "std::move(json)"):
        assert not decodings(code), code


if __name__ == "__main__":
    run_tests(globals())
