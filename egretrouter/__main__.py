"""Run the command line with `python -m egretrouter`."""

from egretrouter.cli import main

if __name__ == "__main__":
    main()
