"""Lets ``python -m berylrock`` stand for the command ``berylrock``."""

from berylrock.scripts import main

if __name__ == "__main__":
    main.main()
