"""Run the command line by `python -m egretrouter`."""

from egretrouter.cli import main

if __name__ == "__main__":
    main()
