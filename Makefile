VENV ?= .venv
# Known failing tests; each entry of KNOWN-RED.txt has a line "test: path::name".
DESELECT := $(shell [ -f KNOWN-RED.txt ] && sed -n 's/^test: *\(.*\)/--deselect "\1"/p' KNOWN-RED.txt)

.PHONY: install test lint format demo simulate thrift

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $@

test: install
	$(VENV)/bin/pytest $(DESELECT)

lint: install
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/lint-imports

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: install
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" dogwoodgap-lab demo
	$(VENV)/bin/dogwoodgap-lab gateway-demo

simulate: install
	$(VENV)/bin/dogwoodgap-lab simulate --seed 1 --count 20

# Needs the thrift compiler. The generated code is committed, so other targets do not need it.
thrift:
	thrift --gen py:slots -out src thrift/dogwoodgap.thrift
	rm -f src/__init__.py
