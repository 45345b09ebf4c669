"""The README: its example of embedding the balancer runs as it is printed."""

import re

from testbed.paths import PROJECT_ROOT


def test_embedding_example_runs() -> None:
    text = (PROJECT_ROOT / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
