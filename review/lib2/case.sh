# Runs the case in the folder of the script that sources this file.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 > /dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 "review/$CASE/case.py"
