"""Test of the README: its example of embedding the balancer runs without changes."""

import re

from testbed.paths import PROJECT_ROOT


def test_example_of_embedding_the_balancer_runs() -> None:
    text = (PROJECT_ROOT / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
