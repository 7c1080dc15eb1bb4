"""Entry point of ``python -m boragetrestle_bench``."""

from boragetrestle_bench.command import main

if __name__ == '__main__':
    main()
