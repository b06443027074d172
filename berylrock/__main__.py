"""Entry point of ``python -m berylrock``, which runs the command ``berylrock``."""

from berylrock.scripts import main

if __name__ == "__main__":
    main.main()
