//! Line charts with several panels.

use std::{error, ops::Range, path::Path};

use plotters::{
    coord::Shift,
    prelude::{
        BLACK, ChartBuilder, Circle, Color, DrawingArea, IntoDrawingArea, IntoFont, LineSeries,
        Palette, Palette99, PathElement, SVGBackend, SeriesLabelPosition, WHITE,
    },
};

use crate::Error;

/// A chart that is written as one file.
pub(super) struct Chart {
    /// The end of the file's name.
    pub(super) name: String,
    /// The title above all panels.
    pub(super) title: String,
    /// The panels by row.
    pub(super) rows: Vec<Vec<Panel>>,
}

/// A plot with its own axes.
pub(super) struct Panel {
    pub(super) title: String,
    pub(super) x_label: String,
    pub(super) y_label: String,
    pub(super) lines: Vec<Line>,
}

/// A named line; its points are in ascending order of x.
pub(super) struct Line {
    pub(super) name: String,
    pub(super) points: Vec<(f64, f64)>,
}

/// The width and height of a panel.
const PANEL_SIZE_PX: (usize, usize) = (520, 340);
/// The height of the title.
const TITLE_HEIGHT_PX: usize = 40;
/// The length of an axis as a multiple of the highest value on it.
const HEADROOM_RATIO: f64 = 1.15;
const FONT: &str = "sans-serif";

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawResult = Result<(), Box<dyn error::Error>>;

impl Chart {
    /// Writes the chart as SVG.
    ///
    /// # Errors
    ///
    /// [`Error::Draw`] when the file cannot be written.
    pub(super) fn write(&self, path: &Path) -> Result<(), Error> {
        self.draw(path).map_err(|e| Error::Draw {
            path: path.display().to_string(),
            problem: e.to_string(),
        })
    }

    fn draw(&self, path: &Path) -> DrawResult {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(1);
        let width = PANEL_SIZE_PX.0 * columns;
        let height = TITLE_HEIGHT_PX + PANEL_SIZE_PX.1 * self.rows.len();
        let size = (u32::try_from(width)?, u32::try_from(height)?);
        let root = SVGBackend::new(path, size).into_drawing_area();
        root.fill(&WHITE)?;
        let root = root.titled(&self.title, (FONT, 18).into_font())?;
        let areas = root.split_evenly((self.rows.len(), columns));
        for (row, areas) in self.rows.iter().zip(areas.chunks(columns)) {
            for (panel, area) in row.iter().zip(areas) {
                panel.draw(area)?;
            }
        }
        root.present()?;
        Ok(())
    }
}

impl Panel {
    fn draw(&self, area: &Area<'_>) -> DrawResult {
        let (xs, ys) = self.ranges();
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, (FONT, 14))
            .margin(10)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(xs, ys)?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .draw()?;
        for (n, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let points = line.points.iter().copied();
            chart
                .draw_series(LineSeries::new(points.clone(), color.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            chart.draw_series(points.map(|point| Circle::new(point, 3, color.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        Ok(())
    }

    /// Returns the ranges of both axes. They start at zero, so that heights are
    /// proportional to values.
    fn ranges(&self) -> (Range<f64>, Range<f64>) {
        let points = self.lines.iter().flat_map(|line| &line.points);
        let finite = points.filter(|(x, y)| x.is_finite() && y.is_finite());
        let (mut right, mut top) = (0.0_f64, 0.0_f64);
        for (x, y) in finite {
            right = right.max(*x);
            top = top.max(*y);
        }
        let axis_end = |max: f64| if max > 0.0 { max * HEADROOM_RATIO } else { 1.0 };
        (0.0..axis_end(right), 0.0..axis_end(top))
    }
}
