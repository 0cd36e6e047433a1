VENV ?= .venv
PY := $(VENV)/bin/python

.PHONY: install test lint format demo thrift

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $@

test: install
	$(VENV)/bin/pytest

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: install
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" bash scripts/demo.sh

# Needs the thrift compiler; the generated code is committed, so a build does not.
thrift:
	thrift --gen py:slots -out src thrift/dogwoodgap.thrift
	rm -f src/__init__.py
